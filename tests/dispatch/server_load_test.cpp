#include <godwit/dispatch/server_load.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace godwit;
using namespace std::chrono_literals;

core::time_point at(core::duration since_start)
{
    return core::time_point(since_start);
}

dispatch::load_reported
report(core::duration measured, std::uint32_t running, std::uint64_t tokens)
{
    dispatch::load_reported value;
    value.measured_at = at(measured);
    value.running = running;
    value.memory_tokens_used = tokens;
    value.memory_tokens_capacity = 10000;
    return value;
}

class server_load_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_load_test);
    CPPUNIT_TEST(test_report_is_advanced_by_later_changes_only);
    CPPUNIT_TEST(test_older_report_is_ignored);
    CPPUNIT_TEST(test_other_hosts_are_taken_to_do_the_same);
    CPPUNIT_TEST(test_never_below_zero);
    CPPUNIT_TEST(test_bounded_without_reports);
    CPPUNIT_TEST_SUITE_END();

    void test_report_is_advanced_by_later_changes_only()
    {
        dispatch::server_load load;
        load.record(at(1s), 1, 100);
        load.record(at(3s), 1, 200);
        // It left the engine at 2 s and arrives only now.
        load.report(report(2s, 5, 1000));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6.0, load.running(), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1200.0, load.memory_tokens(), 1e-9);
        load.record(at(4s), -1, -150);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, load.running(), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1050.0, load.memory_tokens(), 1e-9);
        load.report(report(5s, 7, 1500));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1500.0, load.memory_tokens(), 1e-9);
    }

    void test_older_report_is_ignored()
    {
        dispatch::server_load load;
        load.report(report(5s, 7, 1500));
        load.report(report(4s, 1, 100));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(7.0, load.running(), 1e-9);
    }

    void test_other_hosts_are_taken_to_do_the_same()
    {
        dispatch::server_load load;
        load.share_between(6);
        load.report(report(1s, 10, 1000));
        load.record(at(2s), 1, 100);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(16.0, load.running(), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1600.0, load.memory_tokens(), 1e-9);
    }

    void test_never_below_zero()
    {
        dispatch::server_load load;
        load.report(report(1s, 1, 100));
        load.record(at(2s), -3, -500);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, load.running(), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, load.memory_tokens(), 1e-9);
    }

    void test_bounded_without_reports()
    {
        dispatch::server_load load;
        for (int change = 0; change < 5000; ++change)
            load.record(at(change * 50ms), 1, 10);
        CPPUNIT_ASSERT(load.slot_count() <= dispatch::server_load::max_slots);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5000.0, load.running(), 1e-9);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_load_test);

} // namespace
