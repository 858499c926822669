#include <godwit/placement/server_limits.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::placement;
using std::chrono::milliseconds;
using std::chrono::seconds;

class server_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_limits_test);
    CPPUNIT_TEST(test_a_limit_is_not_exceeded);
    CPPUNIT_TEST(test_linked_hosts_share_a_limit_by_demand);
    CPPUNIT_TEST(test_a_partitioned_fleet_stays_within_the_limit);
    CPPUNIT_TEST(test_simultaneous_requests_overdraw_the_bucket);
    CPPUNIT_TEST(test_an_answer_without_a_limit_lifts_it);
    CPPUNIT_TEST(test_an_older_answer_is_ignored);
    CPPUNIT_TEST(test_a_changed_limit_applies_at_once);
    CPPUNIT_TEST(test_a_limit_of_zero_permits_occasional_requests);
    CPPUNIT_TEST(test_a_forgotten_server_has_no_limit);
    CPPUNIT_TEST(test_the_burst_after_a_suspension_is_bounded);
    CPPUNIT_TEST(test_unlimited_servers_are_not_counted);
    CPPUNIT_TEST_SUITE_END();

    const server_id server_{"i-1"};
    const core::time_point start_{std::chrono::hours(1)};

    server_limit
    limit(std::optional<double> per_second, core::time_point at) const
    {
        return {server_, server_start{7}, per_second, at};
    }

    // Tries to send a request each millisecond; returns the number sent.
    std::size_t send_all(
        server_limits& limits, core::time_point from, core::time_point to) const
    {
        std::size_t count = 0;
        for (core::time_point now = from; now < to; now += milliseconds(1)) {
            if (!limits.may_send(server_, now))
                continue;
            limits.record_requests(server_, 1, now);
            ++count;
        }
        return count;
    }

    void test_a_limit_is_not_exceeded()
    {
        server_limits limits;
        limits.update_from_answer(limit(5.0, start_), start_);
        CPPUNIT_ASSERT(limits.is_limited(server_));
        CPPUNIT_ASSERT(!limits.may_send(server_, start_));
        CPPUNIT_ASSERT(
            milliseconds(200) == std::chrono::duration_cast<milliseconds>(
                                     limits.wait_time(server_, start_)));
        const std::size_t sent = send_all(limits, start_, start_ + seconds(20));
        CPPUNIT_ASSERT(sent >= 98);
        CPPUNIT_ASSERT(sent <= 101);
    }

    // Two of six hosts have requests, and all hosts receive the counts.
    void test_linked_hosts_share_a_limit_by_demand()
    {
        std::vector<server_limits> hosts(6);
        for (server_limits& host : hosts) {
            host.update_from_neighbour(limit(4.0, start_));
            host.set_hosts(6, 6);
        }
        std::size_t count = 0;
        for (int ms = 0; ms < 20'000; ++ms) {
            const core::time_point now = start_ + milliseconds(ms);
            server_limits& sender = hosts[ms % 2 == 0 ? 0 : 3];
            if (!sender.may_send(server_, now))
                continue;
            for (server_limits& host : hosts)
                host.record_requests(server_, 1, now);
            ++count;
        }
        CPPUNIT_ASSERT(count >= 78);
        CPPUNIT_ASSERT(count <= 81);
    }

    void test_a_partitioned_fleet_stays_within_the_limit()
    {
        std::size_t count = 0;
        for (const std::size_t linked : {2U, 4U}) {
            server_limits part;
            part.update_from_neighbour(limit(6.0, start_));
            part.set_hosts(linked, 6);
            count += send_all(part, start_, start_ + seconds(10));
        }
        CPPUNIT_ASSERT(count >= 57);
        CPPUNIT_ASSERT(count <= 62);
    }

    void test_simultaneous_requests_overdraw_the_bucket()
    {
        server_limits limits;
        limits.update_from_neighbour(limit(2.0, start_));
        const core::time_point now = start_ + seconds(1);
        for (int host = 0; host < 6; ++host)
            limits.record_requests(server_, 1, now);
        CPPUNIT_ASSERT(!limits.may_send(server_, now + milliseconds(2900)));
        CPPUNIT_ASSERT(limits.may_send(server_, now + seconds(3)));
    }

    void test_an_answer_without_a_limit_lifts_it()
    {
        server_limits limits;
        limits.update_from_answer(limit(1.0, start_), start_);
        const core::time_point later = start_ + seconds(1);
        const auto changed = limits.update_from_answer(
            limit(std::nullopt, later), later - milliseconds(10));
        CPPUNIT_ASSERT(changed);
        CPPUNIT_ASSERT(!changed->per_second);
        CPPUNIT_ASSERT(!limits.is_limited(server_));
        CPPUNIT_ASSERT(limits.limits().empty());
        CPPUNIT_ASSERT(limits.may_send(server_, later));
        // A neighbour's older limit is ignored.
        CPPUNIT_ASSERT(!limits.update_from_neighbour(
            limit(1.0, start_ + milliseconds(500))));
        CPPUNIT_ASSERT(!limits.is_limited(server_));
        CPPUNIT_ASSERT(limits.update_from_neighbour(
            limit(1.0, later + milliseconds(500))));
        CPPUNIT_ASSERT(limits.is_limited(server_));
    }

    void test_an_older_answer_is_ignored()
    {
        server_limits limits;
        limits.update_from_answer(limit(1.0, start_), start_);
        // The answer to a request that was sent before the limit was known.
        CPPUNIT_ASSERT(!limits.update_from_answer(
            limit(std::nullopt, start_ + seconds(2)),
            start_ - milliseconds(1)));
        CPPUNIT_ASSERT(limits.is_limited(server_));
        CPPUNIT_ASSERT(
            !limits.update_from_neighbour(limit(9.0, start_ - seconds(1))));
        CPPUNIT_ASSERT(limit(1.0, start_) == *limits.find(server_));
    }

    void test_a_changed_limit_applies_at_once()
    {
        server_limits limits;
        limits.update_from_answer(limit(100.0, start_), start_);
        const core::time_point later = start_ + seconds(10);
        CPPUNIT_ASSERT(limits.update_from_answer(limit(1.0, later), later));
        const std::size_t sent = send_all(limits, later, later + seconds(4));
        CPPUNIT_ASSERT(sent >= 3);
        CPPUNIT_ASSERT(sent <= 4);
    }

    void test_a_limit_of_zero_permits_occasional_requests()
    {
        server_limits limits;
        limits.update_from_answer(limit(0.0, start_), start_);
        const std::size_t sent = send_all(limits, start_, start_ + seconds(60));
        CPPUNIT_ASSERT(sent >= 10);
        CPPUNIT_ASSERT(sent <= 13);
    }

    void test_a_forgotten_server_has_no_limit()
    {
        server_limits limits;
        limits.update_from_answer(limit(0.5, start_), start_);
        limits.forget(server_);
        CPPUNIT_ASSERT(limits.may_send(server_, start_));
        CPPUNIT_ASSERT(limits.empty());
    }

    void test_the_burst_after_a_suspension_is_bounded()
    {
        server_limits limits;
        limits.update_from_answer(limit(8.0, start_), start_);
        const core::time_point resumed_at = start_ + seconds(600);
        std::size_t sent = 0;
        for (; limits.may_send(server_, resumed_at); ++sent)
            limits.record_requests(server_, 1, resumed_at);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, sent);
    }

    void test_unlimited_servers_are_not_counted()
    {
        server_limits limits;
        CPPUNIT_ASSERT(!limits.record_requests(server_, 1, start_));
        CPPUNIT_ASSERT(
            !limits.update_from_answer(limit(std::nullopt, start_), start_));
        CPPUNIT_ASSERT(
            !limits.update_from_neighbour(limit(std::nullopt, start_)));
        CPPUNIT_ASSERT(limits.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_limits_test);

} // namespace
