#include <godwit/entry/cell_load_reporter.hpp>
#include <godwit/entry/event_splitter.hpp>
#include <godwit/entry/link_claims.hpp>
#include <godwit/entry/neighbour_selection.hpp>
#include <godwit/entry/server_list_outage.hpp>
#include <godwit/entry/stream_registry.hpp>
#include <godwit/entry/wait_queue.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::entry;
using placement::server_id;
using placement::source_state;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

std::vector<known_host> fleet(int size)
{
    std::vector<known_host> hosts;
    hosts.reserve(static_cast<std::size_t>(size));
    for (int number = 0; number < size; ++number)
        hosts.push_back(
            {core::host_name("h" + std::to_string(1000 + number)),
             http::endpoint::parse("127.0.0.1:" + std::to_string(2000 + number))
                 .value(),
             core::zone_name(number % 3 == 0 ? "east" : "west")});
    return hosts;
}

struct idle_stream : running_stream
{
    core::time_point last;

    void on_server_draining() override {}

    void on_routes_changed() override {}

    void on_server_restarted() override {}

    [[nodiscard]] core::duration idle_time(core::time_point now) const override
    {
        return now - last;
    }

    [[nodiscard]] const routed_call* sustained_call() const override
    {
        return nullptr;
    }
};

class parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parts_test);
    CPPUNIT_TEST(test_events_are_split_without_changing_a_byte);
    CPPUNIT_TEST(test_incomplete_event_is_not_returned);
    CPPUNIT_TEST(test_event_above_the_size_limit_is_an_error);
    CPPUNIT_TEST(test_entries_may_expire_after_a_store_outage);
    CPPUNIT_TEST(test_an_entry_dropped_by_a_stable_source_has_left);
    CPPUNIT_TEST(test_local_disconnection_does_not_expire_entries);
    CPPUNIT_TEST(test_neighbour_report_just_before_the_return_is_ignored);
    CPPUNIT_TEST(test_small_fleets_have_one_link_per_pair);
    CPPUNIT_TEST(test_messages_reach_large_fleets_in_few_hops);
    CPPUNIT_TEST(test_cells_are_of_one_zone_and_cover_the_fleet);
    CPPUNIT_TEST(test_every_host_is_linked_with_every_cell);
    CPPUNIT_TEST(test_cell_reports_only_changes);
    CPPUNIT_TEST(test_unchanged_cell_still_sends_reports);
    CPPUNIT_TEST(test_new_neighbour_receives_the_reported_state);
    CPPUNIT_TEST(test_host_that_changes_cell_sends_full_report);
    CPPUNIT_TEST(test_cell_reports_arriving_kv_cache);
    CPPUNIT_TEST(test_small_growth_accumulates_until_reported);
    CPPUNIT_TEST(test_cell_sends_full_reports_periodically);
    CPPUNIT_TEST(test_link_claims_expire_and_are_replaced);
    CPPUNIT_TEST(test_server_is_unresponsive_only_if_all_its_streams_are_idle);
    CPPUNIT_TEST(test_queue_is_ordered_by_priority_then_age);
    CPPUNIT_TEST_SUITE_END();

    void test_events_are_split_without_changing_a_byte()
    {
        const std::string text =
            "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
        // In chunks of every size.
        for (std::size_t size = 1; size <= text.size(); ++size) {
            event_splitter splitter;
            std::string joined;
            std::vector<std::uint64_t> ids;
            for (std::size_t at = 0; at < text.size(); at += size) {
                const auto events =
                    splitter.push(text.substr(at, size)).value();
                for (const raw_event& event : events) {
                    joined += event.bytes;
                    ids.push_back(event.id.value_or(0));
                }
            }
            CPPUNIT_ASSERT_EQUAL(text, joined);
            CPPUNIT_ASSERT(ids == (std::vector<std::uint64_t>{1, 2, 0}));
            CPPUNIT_ASSERT(splitter.is_at_event_boundary());
        }
    }

    void test_incomplete_event_is_not_returned()
    {
        event_splitter splitter;
        const auto events = splitter.push("id: 1\n\nid: 2\nda").value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
        CPPUNIT_ASSERT(!splitter.is_at_event_boundary());
    }

    void test_event_above_the_size_limit_is_an_error()
    {
        event_splitter splitter;
        const std::string endless(event_splitter::max_event_bytes + 1, 'x');
        CPPUNIT_ASSERT(!splitter.push(endless));
    }

    void test_entries_may_expire_after_a_store_outage()
    {
        server_list_outage outage;
        CPPUNIT_ASSERT(outage.state_at(at_ms(0)) == source_state::recovering);
        outage.set_current(true, at_ms(0));
        CPPUNIT_ASSERT(outage.state_at(at_ms(0)) == source_state::steady);
        outage.set_current(false, at_ms(1000));
        CPPUNIT_ASSERT(
            outage.state_at(at_ms(1000)) == source_state::recovering);
        outage.set_current(true, at_ms(5000));
        CPPUNIT_ASSERT(
            outage.state_at(at_ms(6999)) == source_state::recovering);
        CPPUNIT_ASSERT(outage.state_at(at_ms(7000)) == source_state::steady);
    }

    // The source may have recovered just after the last failed read began. It
    // counts as stable three seconds later, and what it drops then has left.
    void test_an_entry_dropped_by_a_stable_source_has_left()
    {
        server_list_outage outage;
        outage.set_current(true, at_ms(0));
        outage.record_failed_read(at_ms(500));
        outage.set_current(false, at_ms(2500));
        outage.record_failed_read(at_ms(2700));
        outage.set_current(true, at_ms(4400));
        CPPUNIT_ASSERT(
            outage.state_at(at_ms(5699)) == source_state::recovering);
        CPPUNIT_ASSERT(outage.state_at(at_ms(5700)) == source_state::steady);
        // What is read at the recovery itself may have expired before.
        outage.record_failed_read(at_ms(10000));
        outage.set_current(false, at_ms(10000));
        outage.set_current(true, at_ms(14000));
        CPPUNIT_ASSERT(
            outage.state_at(at_ms(14000)) == source_state::recovering);
        CPPUNIT_ASSERT(outage.state_at(at_ms(14100)) == source_state::steady);
    }

    void test_local_disconnection_does_not_expire_entries()
    {
        server_list_outage outage;
        outage.set_current(true, at_ms(0));
        outage.set_current(false, at_ms(1000));
        // The neighbour may not have noticed yet that it lost the source, too.
        outage.record_neighbour_read(at_ms(2000));
        outage.record_neighbour_read(at_ms(4000));
        outage.set_current(true, at_ms(6000));
        CPPUNIT_ASSERT(outage.state_at(at_ms(6000)) == source_state::steady);
    }

    void test_neighbour_report_just_before_the_return_is_ignored()
    {
        server_list_outage outage;
        outage.set_current(true, at_ms(0));
        outage.set_current(false, at_ms(1000));
        outage.record_neighbour_read(at_ms(5500));
        outage.set_current(true, at_ms(6000));
        CPPUNIT_ASSERT(
            outage.state_at(at_ms(6000)) == source_state::recovering);
    }

    void test_small_fleets_have_one_link_per_pair()
    {
        const auto hosts = fleet(6);
        std::set<std::pair<std::string, std::string>> pairs;
        for (const auto& self : hosts) {
            for (const auto& other :
                 select_neighbours(divide_into_cells(hosts), self.name)) {
                CPPUNIT_ASSERT(
                    !pairs.contains({other.name.value(), self.name.value()}));
                pairs.insert({self.name.value(), other.name.value()});
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{15}, pairs.size());
        CPPUNIT_ASSERT(
            select_neighbours(divide_into_cells(hosts), core::host_name("x"))
                .empty());
    }

    void test_messages_reach_large_fleets_in_few_hops()
    {
        const auto hosts = fleet(410);
        std::map<std::string, std::set<std::string>> links;
        std::size_t max_links = 0;
        for (const auto& self : hosts) {
            const auto chosen =
                select_neighbours(divide_into_cells(hosts), self.name);
            max_links = std::max(max_links, chosen.size());
            for (const auto& other : chosen) {
                links[self.name.value()].insert(other.name.value());
                links[other.name.value()].insert(self.name.value());
            }
        }
        CPPUNIT_ASSERT(max_links <= max_cell_hosts - 1 + 8);
        std::set<std::string> reached{hosts.front().name.value()};
        int steps = 0;
        while (reached.size() < hosts.size()) {
            CPPUNIT_ASSERT(++steps <= 5);
            std::set<std::string> next = reached;
            for (const auto& host : reached)
                next.insert(links[host].begin(), links[host].end());
            reached = next;
        }
    }

    void test_cells_are_of_one_zone_and_cover_the_fleet()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, divide_into_cells(fleet(9)).size());
        std::set<std::string> names;
        std::set<std::string> hosts;
        for (const host_cell& cell : divide_into_cells(fleet(100))) {
            CPPUNIT_ASSERT(names.insert(cell.name.value()).second);
            CPPUNIT_ASSERT(cell.members.size() <= max_cell_hosts);
            for (const known_host& host : cell.members) {
                CPPUNIT_ASSERT(host.zone == cell.members.front().zone);
                CPPUNIT_ASSERT(hosts.insert(host.name.value()).second);
            }
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, hosts.size());
    }

    // Every host receives the load of every other cell over a link of its own.
    void test_every_host_is_linked_with_every_cell()
    {
        for (const int size : {10, 30, 83, 300}) {
            const auto cells = divide_into_cells(fleet(size));
            std::map<std::string, std::set<std::string>> received;
            for (const host_cell& cell : cells) {
                for (const known_host& self : cell.members) {
                    for (const auto& other :
                         select_neighbours(cells, self.name)) {
                        received[self.name.value()].insert(
                            cell_name_of(cells, other));
                        received[other.name.value()].insert(cell.name.value());
                    }
                }
            }
            for (const auto& [host, names] : received)
                CPPUNIT_ASSERT(names.size() + 1 >= cells.size());
        }
    }

    static std::string
    cell_name_of(const std::vector<host_cell>& cells, const known_host& host)
    {
        for (const host_cell& cell : cells) {
            if (std::find(cell.members.begin(), cell.members.end(), host) !=
                cell.members.end())
                return cell.name.value();
        }
        return "";
    }

    using sums = std::vector<placement::server_work>;

    void test_cell_reports_only_changes()
    {
        cell_load_reporter reporter;
        const placement::host_group cell("east/0");
        const server_id one("i-1");
        const server_id two("i-2");
        const auto first = reporter.next(
            cell, sums{{one, {1, 3000, 3000}}, {two, {2, 6000, 0}}}, at_ms(0));
        CPPUNIT_ASSERT(first->is_whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first->work.size());
        // A small growth of memory is not reported.
        CPPUNIT_ASSERT(!reporter.next(
            cell,
            sums{{one, {1, 3000, 3000}}, {two, {2, 6100, 0}}},
            at_ms(100)));
        // One prompt was processed; the other server's work ended.
        const auto second =
            reporter.next(cell, sums{{one, {1, 3000, 0}}}, at_ms(200));
        CPPUNIT_ASSERT(!second->is_whole);
        const std::vector<wire::server_work> expected{
            {"i-1", 1, 3000, 0}, {"i-2", 0, 0, 0}};
        CPPUNIT_ASSERT(second->work == expected);
    }

    void test_unchanged_cell_still_sends_reports()
    {
        cell_load_reporter reporter;
        const placement::host_group cell("east/0");
        const sums unchanged{{server_id("i-1"), {1, 3000, 0}}};
        CPPUNIT_ASSERT(!reporter.full(cell));
        CPPUNIT_ASSERT(reporter.next(cell, unchanged, at_ms(1000))->is_whole);
        CPPUNIT_ASSERT(!reporter.next(cell, unchanged, at_ms(1900)));
        const auto keep_alive = reporter.next(cell, unchanged, at_ms(2000));
        CPPUNIT_ASSERT(
            keep_alive && !keep_alive->is_whole && keep_alive->work.empty());
        CPPUNIT_ASSERT(!reporter.next(cell, unchanged, at_ms(2100)));
        CPPUNIT_ASSERT(reporter.next(cell, unchanged, at_ms(11'000))->is_whole);
    }

    // A new link starts with the state that the following changes refer to.
    void test_new_neighbour_receives_the_reported_state()
    {
        cell_load_reporter reporter;
        const placement::host_group cell("east/0");
        const server_id one("i-1");
        const server_id two("i-2");
        (void)reporter.next(
            cell, sums{{one, {1, 3000, 0}}, {two, {1, 2000, 0}}}, at_ms(1000));
        // Growth below the threshold is not reported yet.
        (void)reporter.next(cell, sums{{one, {1, 3100, 0}}}, at_ms(1100));
        const auto full = reporter.full(cell);
        CPPUNIT_ASSERT(full && full->is_whole);
        const std::vector<wire::server_work> expected{{"i-1", 1, 3000, 0}};
        CPPUNIT_ASSERT(full->work == expected);
    }

    void test_host_that_changes_cell_sends_full_report()
    {
        cell_load_reporter reporter;
        const sums unchanged{{server_id("i-1"), {1, 3000, 0}}};
        (void)reporter.next(
            placement::host_group("east/0"), unchanged, at_ms(1000));
        CPPUNIT_ASSERT(!reporter.full(placement::host_group("east/1")));
        const auto report_after_change = reporter.next(
            placement::host_group("east/1"), unchanged, at_ms(1100));
        CPPUNIT_ASSERT(
            report_after_change && report_after_change->is_whole &&
            report_after_change->cell == "east/1");
    }

    void test_cell_reports_arriving_kv_cache()
    {
        cell_load_reporter reporter;
        const placement::host_group cell("east/0");
        const server_id one("i-1");
        const auto first =
            reporter.next(cell, sums{{one, {1, 3000, 0, 3000}}}, at_ms(0));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{3000}, first->work.front().arriving_tokens);
        // The KV cache has arrived; nothing else changed.
        const auto second =
            reporter.next(cell, sums{{one, {1, 3000, 0, 0}}}, at_ms(100));
        CPPUNIT_ASSERT(second);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0}, second->work.front().arriving_tokens);
    }

    void test_small_growth_accumulates_until_reported()
    {
        cell_load_reporter reporter;
        const placement::host_group cell("east/0");
        const server_id one("i-1");
        (void)reporter.next(cell, sums{{one, {1, 3000, 0}}}, at_ms(0));
        CPPUNIT_ASSERT(
            !reporter.next(cell, sums{{one, {1, 3300, 0}}}, at_ms(100)));
        CPPUNIT_ASSERT(
            reporter.next(cell, sums{{one, {1, 3400, 0}}}, at_ms(200)));
    }

    void test_cell_sends_full_reports_periodically()
    {
        cell_load_reporter reporter;
        const placement::host_group cell("east/0");
        const sums work{{server_id("i-1"), {1, 3000, 0}}};
        CPPUNIT_ASSERT(reporter.next(cell, work, at_ms(1000))->is_whole);
        CPPUNIT_ASSERT(!reporter.next(cell, work, at_ms(10'900))->is_whole);
        CPPUNIT_ASSERT(reporter.next(cell, work, at_ms(11'000))->is_whole);
    }

    void test_link_claims_expire_and_are_replaced()
    {
        link_claims claims;
        claims.update(
            core::host_name("a"), {server_id("s"), server_id("d")}, at_ms(100));
        CPPUNIT_ASSERT(claims.is_claimed({server_id("d")}, at_ms(99)));
        CPPUNIT_ASSERT(!claims.is_claimed({server_id("e")}, at_ms(99)));
        CPPUNIT_ASSERT(!claims.is_claimed({server_id("d")}, at_ms(100)));
        claims.update(core::host_name("a"), {server_id("d")}, at_ms(50));
        CPPUNIT_ASSERT(!claims.is_claimed({server_id("d")}, at_ms(60)));
    }

    void test_server_is_unresponsive_only_if_all_its_streams_are_idle()
    {
        stream_registry streams;
        idle_stream one;
        idle_stream other;
        streams.add(server_id("s"), one);
        streams.add(server_id("s"), other);
        other.last = at_ms(500);
        const auto span = std::chrono::milliseconds(700);
        CPPUNIT_ASSERT(streams.unresponsive_servers(span, at_ms(1199)).empty());
        CPPUNIT_ASSERT(
            streams.unresponsive_servers(span, at_ms(1200)) ==
            std::vector{server_id("s")});
        streams.remove(server_id("s"), one);
        streams.remove(server_id("s"), other);
        CPPUNIT_ASSERT(streams.unresponsive_servers(span, at_ms(9999)).empty());
    }

    void test_queue_is_ordered_by_priority_then_age()
    {
        boost::asio::io_context context;
        wait_queue queue;
        std::string order;
        const auto wait = [&](int priority,
                              char name) -> boost::asio::awaitable<void> {
            wait_queue::waiter waiter(queue, context.get_executor(), priority);
            co_await waiter.wait_turn(
                core::monotonic_now() + std::chrono::seconds(10));
            order += name;
        };
        const auto spawn = [&](int priority, char name) {
            boost::asio::co_spawn(
                context, wait(priority, name), boost::asio::detached);
            context.poll();
        };
        spawn(1, 'a');
        spawn(1, 'b');
        spawn(0, 'c');
        spawn(2, 'd');
        CPPUNIT_ASSERT(queue.has_waiter_ahead_of(0));
        // Each waiter that leaves wakes the next one.
        queue.wake_first();
        context.run();
        CPPUNIT_ASSERT_EQUAL(std::string("cabd"), order);
        CPPUNIT_ASSERT(!queue.has_waiter_ahead_of(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parts_test);

} // namespace
