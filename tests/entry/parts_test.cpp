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

struct quiet_stream : running_stream
{
    core::time_point last;

    void on_server_draining() override {}

    void on_server_restarted() override {}

    [[nodiscard]] core::duration idle_time(core::time_point now) const override
    {
        return now - last;
    }
};

class parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parts_test);
    CPPUNIT_TEST(test_events_come_whole_and_unchanged);
    CPPUNIT_TEST(test_an_event_that_is_cut_is_kept_back);
    CPPUNIT_TEST(test_an_endless_event_is_refused);
    CPPUNIT_TEST(test_a_store_outage_lets_entries_lapse);
    CPPUNIT_TEST(test_an_own_cut_does_not_let_entries_lapse);
    CPPUNIT_TEST(test_a_word_from_the_very_return_proves_nothing);
    CPPUNIT_TEST(test_small_fleets_have_one_link_a_pair);
    CPPUNIT_TEST(test_news_reaches_large_fleets_in_few_steps);
    CPPUNIT_TEST(test_cells_are_of_one_zone_and_cover_the_fleet);
    CPPUNIT_TEST(test_every_host_is_linked_with_every_cell);
    CPPUNIT_TEST(test_a_cell_tells_what_changed);
    CPPUNIT_TEST(test_a_cell_is_never_silent_for_long);
    CPPUNIT_TEST(test_a_new_listener_gets_all_that_was_told);
    CPPUNIT_TEST(test_a_host_in_another_cell_tells_all);
    CPPUNIT_TEST(test_a_cell_tells_what_is_on_its_way);
    CPPUNIT_TEST(test_growth_adds_up_until_it_is_told);
    CPPUNIT_TEST(test_a_cell_tells_everything_now_and_then);
    CPPUNIT_TEST(test_claims_hold_up_others_until_they_end);
    CPPUNIT_TEST(test_a_server_is_silent_when_all_its_streams_are);
    CPPUNIT_TEST(test_the_most_urgent_and_then_the_oldest_go_first);
    CPPUNIT_TEST_SUITE_END();

    void test_events_come_whole_and_unchanged()
    {
        const std::string text =
            "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\n";
        // In pieces of every size.
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

    void test_an_event_that_is_cut_is_kept_back()
    {
        event_splitter splitter;
        const auto events = splitter.push("id: 1\n\nid: 2\nda").value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
        CPPUNIT_ASSERT(!splitter.is_at_event_boundary());
    }

    void test_an_endless_event_is_refused()
    {
        event_splitter splitter;
        const std::string endless(event_splitter::max_event_bytes + 1, 'x');
        CPPUNIT_ASSERT(!splitter.push(endless));
    }

    void test_a_store_outage_lets_entries_lapse()
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
            outage.state_at(at_ms(8999)) == source_state::recovering);
        CPPUNIT_ASSERT(outage.state_at(at_ms(9000)) == source_state::steady);
    }

    void test_an_own_cut_does_not_let_entries_lapse()
    {
        server_list_outage outage;
        outage.set_current(true, at_ms(0));
        outage.set_current(false, at_ms(1000));
        // The neighbour may not have noticed yet what this host did.
        outage.record_neighbour_read(at_ms(2000));
        outage.record_neighbour_read(at_ms(4000));
        outage.set_current(true, at_ms(6000));
        CPPUNIT_ASSERT(outage.state_at(at_ms(6000)) == source_state::steady);
    }

    void test_a_word_from_the_very_return_proves_nothing()
    {
        server_list_outage outage;
        outage.set_current(true, at_ms(0));
        outage.set_current(false, at_ms(1000));
        outage.record_neighbour_read(at_ms(5500));
        outage.set_current(true, at_ms(6000));
        CPPUNIT_ASSERT(
            outage.state_at(at_ms(6000)) == source_state::recovering);
    }

    void test_small_fleets_have_one_link_a_pair()
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

    void test_news_reaches_large_fleets_in_few_steps()
    {
        const auto hosts = fleet(410);
        std::map<std::string, std::set<std::string>> links;
        std::size_t most = 0;
        for (const auto& self : hosts) {
            const auto chosen =
                select_neighbours(divide_into_cells(hosts), self.name);
            most = std::max(most, chosen.size());
            for (const auto& other : chosen) {
                links[self.name.value()].insert(other.name.value());
                links[other.name.value()].insert(self.name.value());
            }
        }
        CPPUNIT_ASSERT(most <= max_cell_hosts - 1 + 8);
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

    // Every host hears the sums of every other cell over a link of its own.
    void test_every_host_is_linked_with_every_cell()
    {
        for (const int size : {10, 30, 83, 300}) {
            const auto cells = divide_into_cells(fleet(size));
            std::map<std::string, std::set<std::string>> heard;
            for (const host_cell& cell : cells) {
                for (const known_host& self : cell.members) {
                    for (const auto& other :
                         select_neighbours(cells, self.name)) {
                        heard[self.name.value()].insert(
                            cell_name(cells, other));
                        heard[other.name.value()].insert(cell.name.value());
                    }
                }
            }
            for (const auto& [host, names] : heard)
                CPPUNIT_ASSERT(names.size() + 1 >= cells.size());
        }
    }

    static std::string
    cell_name(const std::vector<host_cell>& cells, const known_host& host)
    {
        for (const host_cell& cell : cells) {
            if (std::find(cell.members.begin(), cell.members.end(), host) !=
                cell.members.end())
                return cell.name.value();
        }
        return "";
    }

    using sums = std::vector<placement::server_work>;

    void test_a_cell_tells_what_changed()
    {
        cell_load_reporter report;
        const placement::host_group cell("east/0");
        const server_id one("i-1");
        const server_id two("i-2");
        const auto first = report.next(
            cell, sums{{one, {1, 3000, 3000}}, {two, {2, 6000, 0}}}, at_ms(0));
        CPPUNIT_ASSERT(first->is_whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first->work.size());
        // Memory that grows a little is no news.
        CPPUNIT_ASSERT(!report.next(
            cell,
            sums{{one, {1, 3000, 3000}}, {two, {2, 6100, 0}}},
            at_ms(100)));
        // One prompt was read; the other server's work ended.
        const auto second =
            report.next(cell, sums{{one, {1, 3000, 0}}}, at_ms(200));
        CPPUNIT_ASSERT(!second->is_whole);
        const std::vector<wire::server_work> expected{
            {"i-1", 1, 3000, 0}, {"i-2", 0, 0, 0}};
        CPPUNIT_ASSERT(second->work == expected);
    }

    void test_a_cell_is_never_silent_for_long()
    {
        cell_load_reporter report;
        const placement::host_group cell("east/0");
        const sums unchanged{{server_id("i-1"), {1, 3000, 0}}};
        CPPUNIT_ASSERT(!report.full(cell));
        CPPUNIT_ASSERT(report.next(cell, unchanged, at_ms(1000))->is_whole);
        CPPUNIT_ASSERT(!report.next(cell, unchanged, at_ms(1400)));
        const auto sign = report.next(cell, unchanged, at_ms(1500));
        CPPUNIT_ASSERT(sign && !sign->is_whole && sign->work.empty());
        CPPUNIT_ASSERT(!report.next(cell, unchanged, at_ms(1600)));
        CPPUNIT_ASSERT(report.next(cell, unchanged, at_ms(11'000))->is_whole);
    }

    // A new link begins with what the changes that follow are told against.
    void test_a_new_listener_gets_all_that_was_told()
    {
        cell_load_reporter report;
        const placement::host_group cell("east/0");
        const server_id one("i-1");
        const server_id two("i-2");
        (void)report.next(
            cell, sums{{one, {1, 3000, 0}}, {two, {1, 2000, 0}}}, at_ms(1000));
        // Growth that waits is not told yet.
        (void)report.next(cell, sums{{one, {1, 3100, 0}}}, at_ms(1100));
        const auto whole = report.full(cell);
        CPPUNIT_ASSERT(whole && whole->is_whole);
        const std::vector<wire::server_work> expected{{"i-1", 1, 3000, 0}};
        CPPUNIT_ASSERT(whole->work == expected);
    }

    void test_a_host_in_another_cell_tells_all()
    {
        cell_load_reporter report;
        const sums unchanged{{server_id("i-1"), {1, 3000, 0}}};
        (void)report.next(
            placement::host_group("east/0"), unchanged, at_ms(1000));
        CPPUNIT_ASSERT(!report.full(placement::host_group("east/1")));
        const auto said = report.next(
            placement::host_group("east/1"), unchanged, at_ms(1100));
        CPPUNIT_ASSERT(said && said->is_whole && said->cell == "east/1");
    }

    void test_a_cell_tells_what_is_on_its_way()
    {
        cell_load_reporter report;
        const placement::host_group cell("east/0");
        const server_id one("i-1");
        const auto first =
            report.next(cell, sums{{one, {1, 3000, 0, 3000}}}, at_ms(0));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{3000}, first->work.front().arriving_tokens);
        // The memory has arrived; nothing else changed.
        const auto second =
            report.next(cell, sums{{one, {1, 3000, 0, 0}}}, at_ms(100));
        CPPUNIT_ASSERT(second);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0}, second->work.front().arriving_tokens);
    }

    void test_growth_adds_up_until_it_is_told()
    {
        cell_load_reporter report;
        const placement::host_group cell("east/0");
        const server_id one("i-1");
        (void)report.next(cell, sums{{one, {1, 3000, 0}}}, at_ms(0));
        CPPUNIT_ASSERT(
            !report.next(cell, sums{{one, {1, 3300, 0}}}, at_ms(100)));
        CPPUNIT_ASSERT(
            report.next(cell, sums{{one, {1, 3400, 0}}}, at_ms(200)));
    }

    void test_a_cell_tells_everything_now_and_then()
    {
        cell_load_reporter report;
        const placement::host_group cell("east/0");
        const sums work{{server_id("i-1"), {1, 3000, 0}}};
        CPPUNIT_ASSERT(report.next(cell, work, at_ms(1000))->is_whole);
        CPPUNIT_ASSERT(!report.next(cell, work, at_ms(10'900))->is_whole);
        CPPUNIT_ASSERT(report.next(cell, work, at_ms(11'000))->is_whole);
    }

    void test_claims_hold_up_others_until_they_end()
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

    void test_a_server_is_silent_when_all_its_streams_are()
    {
        stream_registry streams;
        quiet_stream one;
        quiet_stream other;
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

    void test_the_most_urgent_and_then_the_oldest_go_first()
    {
        boost::asio::io_context context;
        wait_queue line;
        std::string order;
        const auto wait = [&](int priority,
                              char name) -> boost::asio::awaitable<void> {
            wait_queue::waiter place(line, context.get_executor(), priority);
            co_await place.wait_turn(
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
        CPPUNIT_ASSERT(line.has_waiter_ahead_of(0));
        // Each that leaves lets the next one try.
        line.wake_first();
        context.run();
        CPPUNIT_ASSERT_EQUAL(std::string("cabd"), order);
        CPPUNIT_ASSERT(!line.has_waiter_ahead_of(2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parts_test);

} // namespace
