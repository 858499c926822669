// Guards against hosts of other zones that are told of servers which they do
// not need, and against full servers that look empty from there.

#include "samples.hpp"

#include <godwit/placement/load_significance.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit;
using namespace godwit::placement;
using namespace godwit::placement::test;

class load_significance_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_significance_test);
    CPPUNIT_TEST(test_a_lightly_loaded_server_is_not_reported);
    CPPUNIT_TEST(test_each_kind_of_capacity_counts);
    CPPUNIT_TEST(test_a_server_without_engine_is_judged_by_its_slots);
    CPPUNIT_TEST_SUITE_END();

    backend_server server_ = sample_server(1);
    routing::service service_;

public:
    void setUp() override
    {
        server_.slots = 24;
        service_.engine = routing::engine_profile{24, 10000, 1, 1, true, false};
    }

private:
    [[nodiscard]] bool is_significant(const work_size& load) const
    {
        return is_significant_elsewhere(server_, service_, load);
    }

    void test_a_lightly_loaded_server_is_not_reported()
    {
        CPPUNIT_ASSERT(!is_significant({}));
        CPPUNIT_ASSERT(!is_significant({5, 2499, 2499}));
    }

    void test_each_kind_of_capacity_counts()
    {
        CPPUNIT_ASSERT(is_significant({6, 0, 0}));
        CPPUNIT_ASSERT(is_significant({1, 2500, 0}));
        CPPUNIT_ASSERT(is_significant({1, 2400, 2500}));
        CPPUNIT_ASSERT(is_significant({1, 2400, 0, 1}));
    }

    void test_a_server_without_engine_is_judged_by_its_slots()
    {
        service_.engine.reset();
        CPPUNIT_ASSERT(!is_significant({5, 90000, 90000}));
        CPPUNIT_ASSERT(is_significant({6, 0, 0}));
        server_.slots = 0;
        CPPUNIT_ASSERT(!is_significant({0, 0, 0}));
        CPPUNIT_ASSERT(is_significant({1, 0, 0}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_significance_test);

} // namespace
