#include <godwit/queueing/cell_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::queueing;
using std::chrono::milliseconds;

class cell_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(cell_queue_test);
    CPPUNIT_TEST(test_priority_goes_before_time_left);
    CPPUNIT_TEST(test_a_late_request_comes_after_timely_ones);
    CPPUNIT_TEST(test_an_organisation_below_its_share_goes_first);
    CPPUNIT_TEST(test_an_aged_request_goes_before_newer_ones);
    CPPUNIT_TEST(test_an_outranked_request_leaves_a_slot_for_a_bounded_time);
    CPPUNIT_TEST(test_a_report_of_a_dead_host_expires);
    CPPUNIT_TEST(test_an_idle_host_sends_nothing);
    CPPUNIT_TEST(test_reports_are_bounded);
    CPPUNIT_TEST(test_used_work_decays);
    CPPUNIT_TEST_SUITE_END();

    const core::time_point start_{std::chrono::hours(1)};
    const core::host_name other_{"h2"};
    const placement::server_id server_{"s1"};
    cell_queue queue_;

    [[nodiscard]] waiting_request request(
        const std::string& organisation,
        int arrived_ms,
        int priority = 0,
        const std::string& service = "lm") const
    {
        const core::time_point arrival = start_ + milliseconds(arrived_ms);
        return waiting_request{
            core::service_name(service),
            core::organisation_name(organisation),
            priority,
            3000,
            arrival,
            milliseconds(1000),
            arrival + milliseconds(650)};
    }

    [[nodiscard]] queue_order order_at(int ms) const
    {
        return queue_.order({}, start_ + milliseconds(ms));
    }

    // A request of low priority must not take the slot of an urgent one.
    void test_priority_goes_before_time_left()
    {
        const auto order = order_at(600);
        CPPUNIT_ASSERT(
            order.goes_before(request("a", 500, 0), request("a", 0, 1)));
        CPPUNIT_ASSERT(
            order.outranks(request("a", 500, 0), request("a", 0, 1)));
    }

    // A late request that is served first makes another one late.
    void test_a_late_request_comes_after_timely_ones()
    {
        const auto order = order_at(700);
        CPPUNIT_ASSERT(order.goes_before(request("a", 600), request("a", 0)));
        CPPUNIT_ASSERT(!order.goes_before(request("a", 0), request("a", 600)));
    }

    // An organisation with many requests must not take the share of others.
    void test_an_organisation_below_its_share_goes_first()
    {
        queue_.begin_run(core::organisation_name("many"), 90'000, start_);
        queue_.begin_run(core::organisation_name("few"), 3000, start_);
        const core::time_point now = start_ + milliseconds(400);
        const auto many = request("many", 0);
        const auto few = request("few", 300);
        const auto order = queue_.order({many, few}, now);
        CPPUNIT_ASSERT(order.goes_before(few, many));
        CPPUNIT_ASSERT(!order.goes_before(many, few));
        // A share that nobody else waits for goes to anybody who waits.
        const auto alone = queue_.order({many}, now);
        CPPUNIT_ASSERT_EQUAL(1, alone.share_level(many.organisation));
    }

    // A late request that is passed over by newer ones must not starve.
    void test_an_aged_request_goes_before_newer_ones()
    {
        const auto old = request("a", 0);
        const auto newer = request("a", 1900);
        CPPUNIT_ASSERT(order_at(1990).goes_before(newer, old));
        CPPUNIT_ASSERT(order_at(2000).goes_before(old, newer));
        CPPUNIT_ASSERT(!order_at(2000).goes_before(old, request("a", 0, -1)));
    }

    // Capacity must not stay idle because the host of a more urgent request
    // does not use it.
    void test_an_outranked_request_leaves_a_slot_for_a_bounded_time()
    {
        queue_report report;
        for (int service = 0; service < 4; ++service) {
            for (int count = 0; count < 4; ++count)
                report.heads.push_back(request("a", 0));
        }
        for (int host = 0; host < 20; ++host)
            queue_.update_from_neighbour(
                core::host_name("n" + std::to_string(host)), report, start_);
        const auto own = request("a", 300);
        core::time_point now = start_ + milliseconds(300);
        const core::time_point found_at = now;
        for (;;) {
            const auto delay =
                queue_.delay(own, queue_.order({own}, now), server_, now);
            if (delay == core::duration::zero())
                break;
            now += delay;
            CPPUNIT_ASSERT(now - found_at <= slot_yields::max_delay);
        }
        CPPUNIT_ASSERT(now - found_at == slot_yields::max_delay);
    }

    // A host that dies must not hold up the requests of the others.
    void test_a_report_of_a_dead_host_expires()
    {
        queue_.update_from_neighbour(other_, {{request("a", 0)}, {}}, start_);
        const auto own = request("a", 300);
        const core::time_point fresh = start_ + milliseconds(400);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, queue_.outranking(own, order_at(400), fresh));
        const core::time_point later = start_ + cell_queue::report_lifetime;
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, queue_.outranking(own, order_at(1000), later));
        CPPUNIT_ASSERT(queue_.heads(later).empty());
        CPPUNIT_ASSERT(
            queue_.delay(own, order_at(1000), server_, later) ==
            core::duration::zero());
    }

    // Messages must end once nothing waits any more.
    void test_an_idle_host_sends_nothing()
    {
        CPPUNIT_ASSERT(!queue_.next_report({}, start_));
        const auto own = request("a", 0);
        CPPUNIT_ASSERT(queue_.next_report({own}, start_));
        CPPUNIT_ASSERT(!queue_.next_report({own}, start_ + milliseconds(99)));
        const auto last = queue_.next_report({}, start_ + milliseconds(100));
        CPPUNIT_ASSERT(last && last->heads.empty());
        for (int ms = 101; ms < 2000; ++ms)
            CPPUNIT_ASSERT(!queue_.next_report({}, start_ + milliseconds(ms)));
    }

    // A message must not grow with the number of waiting requests.
    void test_reports_are_bounded()
    {
        std::vector<waiting_request> waiting;
        for (int service = 0; service < 40; ++service) {
            for (int count = 0; count < 10; ++count)
                waiting.push_back(
                    request("a", 0, 0, "lm-" + std::to_string(service)));
            queue_.begin_run(
                core::organisation_name("b" + std::to_string(service)),
                1000,
                start_);
            queue_.begin_run(
                core::organisation_name("c" + std::to_string(service)),
                1000,
                start_);
        }
        const auto report = queue_.next_report(waiting, start_);
        CPPUNIT_ASSERT(report);
        CPPUNIT_ASSERT_EQUAL(
            queue_report::max_heads_per_service * queue_report::max_services,
            report->heads.size());
        CPPUNIT_ASSERT_EQUAL(
            queue_report::max_organisations, report->used.size());
    }

    // Work of long ago must not keep an organisation from its share.
    void test_used_work_decays()
    {
        organisation_usage usage;
        const core::organisation_name name("a");
        usage.begin(name, 1000, start_);
        const core::time_point end = start_ + std::chrono::seconds(1);
        usage.end(name, 1000, end);
        const double used = usage.most_used(1, end).front().work;
        // One second is held at nearly the full weight.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1000, used, 100);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            used / 2,
            usage.most_used(1, end + organisation_usage::half_life)
                .front()
                .work,
            1);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cell_queue_test);

} // namespace
