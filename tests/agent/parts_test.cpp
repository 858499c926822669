#include "pause_watch.hpp"
#include "server_view.hpp"
#include "sign_relay.hpp"
#include "snapshot_assembly.hpp"
#include "timer_wait.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using namespace std::chrono_literals;

namespace {

constexpr core::time_point start{};

class parts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(parts_test);
    CPPUNIT_TEST(test_pause_is_noticed_once);
    CPPUNIT_TEST(test_sign_passes_once_in_a_while);
    CPPUNIT_TEST(test_signs_are_bounded);
    CPPUNIT_TEST(test_view_gives_what_changed);
    CPPUNIT_TEST(test_view_counts_entry_hosts);
    CPPUNIT_TEST(test_snapshot_parts_in_order_only);
    CPPUNIT_TEST(test_nothing_wanted_does_not_spin);
    CPPUNIT_TEST_SUITE_END();

    void test_nothing_wanted_does_not_spin()
    {
        const core::time_point now = core::monotonic_now();
        const auto wait = agent::timer_wait(core::time_point::max(), now);
        CPPUNIT_ASSERT(wait == core::duration(1h));
        CPPUNIT_ASSERT(agent::timer_wait(now - 1s, now) == core::duration(0));
        CPPUNIT_ASSERT(agent::timer_wait(now + 1s, now) == core::duration(1s));
    }

    void test_pause_is_noticed_once()
    {
        agent::pause_watch watch(1s, start);
        CPPUNIT_ASSERT(!watch.observe(start + 1s));
        CPPUNIT_ASSERT(watch.observe(start + 4s) == core::duration(3s));
        CPPUNIT_ASSERT(!watch.observe(start + 4s));
    }

    static wire::server_sign sign(int server, wire::sign_kind kind)
    {
        return {core::server_address(std::to_string(server)), kind, 0};
    }

    void test_sign_passes_once_in_a_while()
    {
        agent::sign_relay relay;
        const auto leaving = sign(1, wire::sign_kind::leaving);
        CPPUNIT_ASSERT(relay.is_news(leaving, start));
        CPPUNIT_ASSERT(!relay.is_news(leaving, start + 4s));
        CPPUNIT_ASSERT(
            relay.is_news(sign(1, wire::sign_kind::failed), start + 4s));
        CPPUNIT_ASSERT(relay.is_news(leaving, start + 5s));
        auto old = sign(2, wire::sign_kind::leaving);
        old.age_ms = 11000;
        CPPUNIT_ASSERT(!relay.is_news(old, start));
    }

    void test_signs_are_bounded()
    {
        agent::sign_relay relay;
        constexpr int count = agent::sign_relay::remembered_limit;
        for (int server = 0; server <= count; ++server)
            CPPUNIT_ASSERT(
                relay.is_news(sign(server, wire::sign_kind::failed), start));
        // The first was forgotten for the last, and only it.
        CPPUNIT_ASSERT(
            !relay.is_news(sign(count, wire::sign_kind::failed), start));
        CPPUNIT_ASSERT(relay.is_news(sign(0, wire::sign_kind::failed), start));
    }

    static platform::host_entry
    server(const std::string& address, platform::host_state state)
    {
        platform::host_entry host;
        host.address = address;
        host.kind = platform::host_kind::engine;
        host.state = state;
        return host;
    }

    void test_view_gives_what_changed()
    {
        using state = platform::host_state;
        agent::server_view view(core::host_name("own"));
        CPPUNIT_ASSERT(!view.known());
        const auto first =
            view.update({server("a", state::live), server("b", state::live)});
        CPPUNIT_ASSERT(first.whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, first.servers.size());
        const auto second = view.update(
            {server("b", state::leaving), server("c", state::live)});
        CPPUNIT_ASSERT(!second.whole);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, second.servers.size());
        CPPUNIT_ASSERT(
            second.removed ==
            std::vector<core::server_address>{core::server_address("a")});
        const auto third = view.update(
            {server("b", state::leaving), server("c", state::live)});
        CPPUNIT_ASSERT(third == wire::backend_servers());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.whole().servers.size());
    }

    static platform::host_entry
    entry(const std::string& name, platform::host_state state)
    {
        platform::host_entry host;
        host.name = core::host_name(name);
        host.kind = platform::host_kind::entry;
        host.state = state;
        return host;
    }

    void test_view_counts_entry_hosts()
    {
        using state = platform::host_state;
        agent::server_view view(core::host_name("own"));
        const auto engine = server("a", state::live);
        CPPUNIT_ASSERT_EQUAL(0U, view.update({engine}).entry_hosts);
        CPPUNIT_ASSERT_EQUAL(0U, view.whole().entry_hosts);
        // It counts itself before it is listed, and once when it is.
        const auto other = entry("other", state::live);
        CPPUNIT_ASSERT_EQUAL(2U, view.update({engine, other}).entry_hosts);
        const auto own = entry("own", state::live);
        CPPUNIT_ASSERT(
            view.update({engine, other, own}) == wire::backend_servers());
        const auto third = entry("third", state::live);
        CPPUNIT_ASSERT_EQUAL(
            3U, view.update({engine, other, own, third}).entry_hosts);
        CPPUNIT_ASSERT_EQUAL(3U, view.whole().entry_hosts);
        // Empty, or without a live one: the last known count stays.
        CPPUNIT_ASSERT_EQUAL(0U, view.update({}).entry_hosts);
        CPPUNIT_ASSERT_EQUAL(
            0U, view.update({entry("own", state::leaving)}).entry_hosts);
        CPPUNIT_ASSERT_EQUAL(3U, view.entry_hosts());
        const auto leaving = entry("other", state::leaving);
        CPPUNIT_ASSERT_EQUAL(
            1U, view.update({engine, leaving, own}).entry_hosts);
    }

    void test_snapshot_parts_in_order_only()
    {
        agent::snapshot_assembly assembly;
        wire::catalogue_snapshot part;
        part.next_offset = 7;
        part.chunk_count = 2;
        part.content = "a";
        CPPUNIT_ASSERT(!assembly.take(part).value());
        part.chunk_index = 1;
        part.content = "b";
        CPPUNIT_ASSERT(
            *assembly.take(part).value() ==
            (std::vector<std::string>{"a", "b"}));
        // A second part without its first, and a part of another snapshot.
        CPPUNIT_ASSERT(!assembly.take(part));
        part.chunk_index = 0;
        CPPUNIT_ASSERT(assembly.take(part).has_value());
        part.chunk_index = 1;
        part.next_offset = 8;
        CPPUNIT_ASSERT(!assembly.take(part));
        part.chunk_index = 0;
        part.chunk_count = 1000000;
        CPPUNIT_ASSERT(!assembly.take(part));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(parts_test);

} // namespace
