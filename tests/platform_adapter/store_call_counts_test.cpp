#include <godwit/platform_adapter/store_call_counts.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>
#include <string>

namespace {

using namespace godwit;
using platform_adapter::store_call_counts;

class store_call_counts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_call_counts_test);
    CPPUNIT_TEST(test_counts_are_returned_once_per_interval);
    CPPUNIT_TEST(test_positions_contain_epoch_offset_and_end);
    CPPUNIT_TEST_SUITE_END();

    static core::time_point at_s(int seconds)
    {
        return core::time_point(std::chrono::seconds(seconds));
    }

    void test_counts_are_returned_once_per_interval()
    {
        store_call_counts counts;
        CPPUNIT_ASSERT(!counts.take_due(at_s(100)));
        counts.record_call("b");
        counts.record_call("a");
        counts.record_call("b");
        counts.record_response("b", 100);
        counts.record_response("b", 20);
        counts.record_failure();
        CPPUNIT_ASSERT(!counts.take_due(at_s(109)));
        const std::optional<std::string> line = counts.take_due(at_s(110));
        CPPUNIT_ASSERT(line == "a:1:0,b:2:120");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, counts.logged_failures());
        // Counts that were returned are cleared.
        counts.record_call("a");
        CPPUNIT_ASSERT(!counts.take_due(at_s(119)));
        CPPUNIT_ASSERT(counts.take_due(at_s(120)) == "a:1:0");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, counts.logged_failures());
    }

    void test_positions_contain_epoch_offset_and_end()
    {
        store_call_counts counts;
        CPPUNIT_ASSERT_EQUAL(std::string(), counts.positions());
        counts.record_position("b", {2, 7}, 9);
        counts.record_position("a", {2, 3}, 3);
        counts.record_position("b", {3, 8}, 9);
        CPPUNIT_ASSERT_EQUAL(
            std::string("a:2:3:3,b:3:8:9"), counts.positions());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_call_counts_test);

} // namespace
