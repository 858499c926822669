#include <godwit/entry/table_fetch_scheduler.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>
#include <string>

namespace {

using namespace godwit;
using entry::table_fetch_scheduler;

class table_fetch_scheduler_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_fetch_scheduler_test);
    CPPUNIT_TEST(test_the_source_has_a_grace_period);
    CPPUNIT_TEST(test_one_neighbour_is_asked_at_a_time);
    CPPUNIT_TEST(test_the_newest_version_is_requested);
    CPPUNIT_TEST(test_the_active_version_is_not_requested);
    CPPUNIT_TEST(test_a_newer_version_is_requested_right_after_an_older_one);
    CPPUNIT_TEST(test_a_useless_response_delays_the_next_request);
    CPPUNIT_TEST(test_a_lost_neighbour_is_not_waited_for);
    CPPUNIT_TEST(test_timeouts_double_for_unresponsive_neighbours);
    CPPUNIT_TEST(test_hosts_start_with_different_neighbours);
    CPPUNIT_TEST(test_a_host_that_gets_no_newer_version_is_overdue);
    CPPUNIT_TEST_SUITE_END();

    // Versions that follow each other quickly do not count as progress unless
    // this host gets one of them.
    void test_a_host_that_gets_no_newer_version_is_overdue()
    {
        table_fetch_scheduler tested = lacking(5);
        for (int now = 0; now < 1500; now += 300) {
            CPPUNIT_ASSERT(!tested.is_overdue(at_ms(now)));
            tested.record_version(
                host("a"), 6 + static_cast<std::uint64_t>(now), at_ms(now));
        }
        CPPUNIT_ASSERT(tested.is_overdue(at_ms(1500)));
        tested.set_own_version(6, at_ms(1600));
        CPPUNIT_ASSERT(!tested.is_overdue(at_ms(3099)));
        CPPUNIT_ASSERT(tested.is_overdue(at_ms(3100)));
        tested.set_own_version(9000, at_ms(3200));
        CPPUNIT_ASSERT(!tested.is_overdue(at_ms(9000)));
        tested.record_version(host("a"), 9001, at_ms(9000));
        tested.remove_neighbour(host("a"));
        CPPUNIT_ASSERT(!tested.is_overdue(at_ms(19000)));
    }

    static core::time_point at_ms(int milliseconds)
    {
        return core::time_point(std::chrono::milliseconds(milliseconds));
    }

    static core::host_name host(const std::string& name)
    {
        return core::host_name(name);
    }

    static table_fetch_scheduler lacking(std::uint64_t version)
    {
        table_fetch_scheduler scheduler(host("self"));
        scheduler.set_own_version(version - 1, at_ms(0));
        for (const char* name : {"a", "b", "c"})
            scheduler.record_version(host(name), version, at_ms(0));
        return scheduler;
    }

    void test_the_source_has_a_grace_period()
    {
        table_fetch_scheduler tested = lacking(5);
        CPPUNIT_ASSERT(!tested.next(at_ms(249)));
        CPPUNIT_ASSERT(tested.next(at_ms(250)));
    }

    void test_one_neighbour_is_asked_at_a_time()
    {
        table_fetch_scheduler tested = lacking(5);
        const auto first = tested.next(at_ms(250));
        CPPUNIT_ASSERT(first);
        CPPUNIT_ASSERT(!tested.next(at_ms(1249)));
        const auto second = tested.next(at_ms(1250));
        CPPUNIT_ASSERT(second);
        CPPUNIT_ASSERT(first->neighbour != second->neighbour);
    }

    void test_the_newest_version_is_requested()
    {
        table_fetch_scheduler tested = lacking(5);
        tested.record_version(host("d"), 7, at_ms(10));
        const entry::table_fetch wanted{host("d"), 7};
        CPPUNIT_ASSERT(tested.next(at_ms(260)) == wanted);
    }

    void test_the_active_version_is_not_requested()
    {
        table_fetch_scheduler tested = lacking(5);
        tested.set_own_version(5, at_ms(5));
        tested.record_version(host("d"), 5, at_ms(10));
        tested.record_version(host("e"), 4, at_ms(10));
        CPPUNIT_ASSERT(!tested.next(at_ms(5000)));
    }

    // The response may have been sent before the newer version was active
    // there.
    void test_a_newer_version_is_requested_right_after_an_older_one()
    {
        table_fetch_scheduler tested = lacking(5);
        CPPUNIT_ASSERT(tested.next(at_ms(250)));
        tested.record_version(host("a"), 6, at_ms(260));
        CPPUNIT_ASSERT(!tested.next(at_ms(600)));
        tested.set_own_version(5, at_ms(600));
        const entry::table_fetch wanted{host("a"), 6};
        CPPUNIT_ASSERT(tested.next(at_ms(601)) == wanted);
    }

    void test_a_useless_response_delays_the_next_request()
    {
        table_fetch_scheduler tested = lacking(5);
        const auto first = tested.next(at_ms(250));
        tested.record_response(first->neighbour, at_ms(300));
        CPPUNIT_ASSERT(!tested.next(at_ms(549)));
        const auto second = tested.next(at_ms(550));
        CPPUNIT_ASSERT(second);
        CPPUNIT_ASSERT(first->neighbour != second->neighbour);
    }

    void test_a_lost_neighbour_is_not_waited_for()
    {
        table_fetch_scheduler tested = lacking(5);
        const auto first = tested.next(at_ms(250));
        tested.remove_neighbour(first->neighbour);
        const auto second = tested.next(at_ms(251));
        CPPUNIT_ASSERT(second);
        CPPUNIT_ASSERT(first->neighbour != second->neighbour);
    }

    void test_timeouts_double_for_unresponsive_neighbours()
    {
        table_fetch_scheduler tested = lacking(5);
        std::multiset<core::host_name> asked;
        for (int now = 0; now < 60000; now += 50) {
            if (const auto request = tested.next(at_ms(now)))
                asked.insert(request->neighbour);
        }
        // After 1, 2 and 4 s, and then every 8 s.
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, asked.size());
        for (const char* name : {"a", "b", "c"})
            CPPUNIT_ASSERT(asked.count(host(name)) >= 3);
    }

    // All hosts receive the first announcement at the same moment.
    void test_hosts_start_with_different_neighbours()
    {
        std::set<core::host_name> first;
        for (int at = 0; at < 20; ++at) {
            table_fetch_scheduler tested(host("h" + std::to_string(at)));
            for (const char* name : {"a", "b", "c", "d"})
                tested.record_version(host(name), 5, at_ms(0));
            first.insert(tested.next(at_ms(250))->neighbour);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, first.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_fetch_scheduler_test);

} // namespace
