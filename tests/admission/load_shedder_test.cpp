#include <godwit/admission/load_shedder.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace godwit;
using admission::host_demand;
using admission::load_shedder;

class load_shedder_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_shedder_test);
    CPPUNIT_TEST(test_a_saturated_link_sheds_until_it_recovers);
    CPPUNIT_TEST(test_equally_busy_hosts_do_not_shed);
    CPPUNIT_TEST(test_a_host_without_others_does_not_shed);
    CPPUNIT_TEST(test_readiness_returns_after_a_delay);
    CPPUNIT_TEST_SUITE_END();

    const core::time_point start_{std::chrono::hours(1)};
    load_shedder shedder_;

    static host_demand skewed(double use) { return {use, 100, 2.0}; }

    void test_a_saturated_link_sheds_until_it_recovers()
    {
        CPPUNIT_ASSERT(!shedder_.update(skewed(0.59), start_));
        CPPUNIT_ASSERT(shedder_.update(skewed(0.6), start_));
        CPPUNIT_ASSERT(shedder_.is_shedding());
        CPPUNIT_ASSERT(!shedder_.update(skewed(0.41), start_));
        CPPUNIT_ASSERT(shedder_.update(skewed(0.39), start_));
        CPPUNIT_ASSERT(!shedder_.is_shedding());
    }

    void test_equally_busy_hosts_do_not_shed()
    {
        CPPUNIT_ASSERT(!shedder_.update({1.0, 100, 50.0}, start_));
        shedder_.update(skewed(1.0), start_);
        CPPUNIT_ASSERT(shedder_.update({1.0, 100, 50.0}, start_));
        CPPUNIT_ASSERT(!shedder_.is_shedding());
    }

    void test_a_host_without_others_does_not_shed()
    {
        CPPUNIT_ASSERT(!shedder_.update({1.0, 100, std::nullopt}, start_));
    }

    void test_readiness_returns_after_a_delay()
    {
        CPPUNIT_ASSERT(shedder_.is_ready(start_));
        shedder_.update(skewed(1.0), start_);
        CPPUNIT_ASSERT(!shedder_.is_ready(start_));
        const core::time_point end = start_ + std::chrono::seconds(5);
        shedder_.update(skewed(0), end);
        CPPUNIT_ASSERT(!shedder_.is_ready(end));
        CPPUNIT_ASSERT(shedder_.is_ready(end + load_shedder::ready_delay));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_shedder_test);

} // namespace
