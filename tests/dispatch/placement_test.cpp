#include "scheduler_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace {

using namespace godwit;
using namespace std::chrono_literals;

class placement_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placement_test);
    CPPUNIT_TEST(test_own_zone_first_then_others);
    CPPUNIT_TEST(test_leaving_server_gets_nothing_new);
    CPPUNIT_TEST(test_excluded_server_is_not_chosen);
    CPPUNIT_TEST(test_failed_server_is_avoided_for_a_while);
    CPPUNIT_TEST(test_same_prefix_goes_to_same_server);
    CPPUNIT_TEST(test_affinity_is_bounded_by_load);
    CPPUNIT_TEST(test_cache_knowledge_decays_at_gaps);
    CPPUNIT_TEST(test_own_sends_count_before_the_next_report);
    CPPUNIT_TEST(test_reserves_expected_rest);
    CPPUNIT_TEST_SUITE_END();

    static dispatch::scheduler_settings in_zone(const std::string& zone)
    {
        dispatch::scheduler_settings settings;
        settings.zone = core::zone_name(zone);
        return settings;
    }

    void test_own_zone_first_then_others()
    {
        scheduler_fixture fixture(in_zone("b"));
        dispatch::servers_changed servers;
        for (int index = 0; index < 4; ++index)
            servers.servers.push_back(scheduler_fixture::engine(index, 0, 1));
        servers.servers[2].zone = core::zone_name("b");
        fixture.tell(servers);
        fixture.arrive("1", "org");
        fixture.arrive("2", "org");
        CPPUNIT_ASSERT(
            fixture.started[0].server == scheduler_fixture::address(2));
        CPPUNIT_ASSERT(
            fixture.started[1].server != scheduler_fixture::address(2));
        CPPUNIT_ASSERT(
            fixture.started[1].reason ==
            dispatch::placement_reason::other_zone);
    }

    void test_leaving_server_gets_nothing_new()
    {
        scheduler_fixture fixture;
        fixture.engines(2, 100000);
        fixture.arrive("1", "org");
        fixture.engines(1, 100000);
        for (int number = 2; number < 12; ++number) {
            fixture.arrive(std::to_string(number), "org");
            CPPUNIT_ASSERT(
                fixture.started.back().server == scheduler_fixture::address(0));
        }
    }

    void test_excluded_server_is_not_chosen()
    {
        scheduler_fixture fixture;
        fixture.engines(2, 100000);
        for (int number = 0; number < 10; ++number) {
            auto request =
                scheduler_fixture::request(std::to_string(number), "org");
            request.excluded = {scheduler_fixture::address(0)};
            fixture.tell(request);
            CPPUNIT_ASSERT(
                fixture.started.back().server == scheduler_fixture::address(1));
        }
    }

    void test_failed_server_is_avoided_for_a_while()
    {
        scheduler_fixture fixture;
        fixture.engines(1, 100000);
        fixture.arrive("1", "org");
        fixture.tell(dispatch::start_failed{core::request_id("1")});
        fixture.arrive("2", "org");
        CPPUNIT_ASSERT(!fixture.is_started("2"));
        fixture.pass(600ms);
        CPPUNIT_ASSERT(fixture.is_started("2"));
    }

    static dispatch::request_arrived
    with_prefix(int number, std::uint64_t prefix)
    {
        auto request =
            scheduler_fixture::request(std::to_string(number), "org");
        request.prefix_hash = prefix;
        return request;
    }

    void test_same_prefix_goes_to_same_server()
    {
        scheduler_fixture fixture;
        fixture.engines(8, 100000);
        std::set<std::string> servers;
        for (int number = 0; number < 8; ++number) {
            fixture.tell(with_prefix(number, 42));
            servers.insert(fixture.started.back().server.value());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, servers.size());
    }

    void test_affinity_is_bounded_by_load()
    {
        scheduler_fixture fixture;
        fixture.engines(8, 2000);
        std::set<std::string> servers;
        for (int number = 0; number < 40; ++number) {
            fixture.tell(with_prefix(number, 42));
            servers.insert(fixture.started.back().server.value());
        }
        CPPUNIT_ASSERT(servers.size() >= 4);
    }

    static dispatch::cache_changed
    stored(int engine, std::uint64_t sequence, std::uint64_t prefix)
    {
        return {
            .server = scheduler_fixture::address(engine),
            .sequence = sequence,
            .prefix_hash = prefix};
    }

    void test_cache_knowledge_decays_at_gaps()
    {
        // Engine 0 holds a request already; it is worth that much only while
        // it surely holds the prefix.
        const auto chosen = [](bool with_gaps) {
            scheduler_fixture fixture;
            fixture.engines(2, 2000);
            std::uint64_t sequence = 0;
            fixture.tell(stored(0, sequence++, 42));
            for (int gap = 0; with_gaps && gap < 4; ++gap)
                fixture.tell(stored(0, sequence += 5, 7));
            auto filler = scheduler_fixture::request("filler", "org");
            filler.excluded = {scheduler_fixture::address(1)};
            filler.prompt_tokens = 150;
            fixture.tell(filler);
            fixture.tell(with_prefix(1, 42));
            return fixture.started.back().server;
        };
        CPPUNIT_ASSERT(chosen(false) == scheduler_fixture::address(0));
        CPPUNIT_ASSERT(chosen(true) == scheduler_fixture::address(1));
    }

    void test_own_sends_count_before_the_next_report()
    {
        scheduler_fixture fixture;
        fixture.engines(2, 1000);
        dispatch::load_reported idle;
        idle.memory_tokens_capacity = 1000;
        for (int number = 0; number < 8; ++number) {
            // Late reports go on saying that engine 0 is empty.
            idle.server = scheduler_fixture::address(0);
            idle.measured_at = fixture.now - 500ms;
            fixture.tell(idle);
            fixture.arrive(std::to_string(number), "org");
            fixture.now += 10ms;
        }
        int on_first = 0;
        for (const auto& start : fixture.started)
            on_first += start.server == scheduler_fixture::address(0) ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, fixture.started.size());
        CPPUNIT_ASSERT_EQUAL(4, on_first);
    }

    void test_reserves_expected_rest()
    {
        scheduler_fixture fixture;
        fixture.engines(1, 1000);
        // Before anything was learned, each may grow to its limit of 100.
        for (int number = 0; number < 20; ++number)
            fixture.arrive(std::to_string(number), "org");
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, fixture.started.size());
        // All turn out to be short; the next are admitted by that.
        for (int number = 0; number < 20; ++number) {
            fixture.tokens(std::to_string(number), 5);
            fixture.end(std::to_string(number));
        }
        for (int number = 100; number < 160; ++number)
            fixture.arrive(std::to_string(number), "org");
        CPPUNIT_ASSERT(fixture.started.size() > 20 + 40);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

} // namespace
