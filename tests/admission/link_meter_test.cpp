#include <godwit/admission/link_meter.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace godwit;
using admission::link_meter;

class link_meter_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(link_meter_test);
    CPPUNIT_TEST(test_the_busier_direction_counts);
    CPPUNIT_TEST(test_old_bytes_are_forgotten);
    CPPUNIT_TEST(test_small_messages_cost_their_packets);
    CPPUNIT_TEST(test_an_unknown_capacity_is_never_used);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double capacity = 1e6;
    static constexpr double tolerance = 0.06;
    const core::time_point start_{std::chrono::hours(1)};
    link_meter meter_;

    void test_the_busier_direction_counts()
    {
        meter_.set_capacity(capacity);
        meter_.record_received(100'000, start_);
        meter_.record_sent(500'000, start_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, meter_.use(start_), tolerance);
    }

    void test_old_bytes_are_forgotten()
    {
        meter_.set_capacity(capacity);
        meter_.record_sent(500'000, start_);
        const core::time_point later = start_ + link_meter::window / 2;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, meter_.use(later), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.0, meter_.use(start_ + link_meter::window), 1e-9);
    }

    void test_small_messages_cost_their_packets()
    {
        meter_.set_capacity(capacity);
        constexpr int messages = 1000;
        for (int number = 0; number < messages; ++number)
            meter_.record_sent(1, start_);
        CPPUNIT_ASSERT(meter_.use(start_) > 0.05);
    }

    void test_an_unknown_capacity_is_never_used()
    {
        meter_.record_sent(500'000, start_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, meter_.use(start_), 1e-9);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(link_meter_test);

} // namespace
