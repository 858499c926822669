#include "samples.hpp"

#include <godwit/placement/placer.hpp>
#include <godwit/placement/zone_rebalancer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace godwit::placement;
using namespace godwit::placement::test;
using godwit::core::host_name;
using godwit::core::service_name;
using godwit::core::zone_name;
using godwit::routing::engine_profile;
using godwit::routing::service;

class placer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placer_test);
    CPPUNIT_TEST(test_the_least_loaded_server_is_chosen);
    CPPUNIT_TEST(test_neighbour_reports_count_until_they_expire);
    CPPUNIT_TEST(test_unread_tokens_count_as_load);
    CPPUNIT_TEST(test_full_servers_are_not_chosen);
    CPPUNIT_TEST(test_migrations_may_use_the_memory_reserve);
    CPPUNIT_TEST(test_a_request_above_the_memory_share_gets_an_empty_server);
    CPPUNIT_TEST(test_excluded_and_draining_servers_are_not_chosen);
    CPPUNIT_TEST(test_avoided_servers_are_chosen_last);
    CPPUNIT_TEST(test_a_failing_server_gets_fewer_requests);
    CPPUNIT_TEST(test_migrations_stay_in_the_zone);
    CPPUNIT_TEST(test_starts_stay_in_the_zone_unless_it_is_much_more_loaded);
    CPPUNIT_TEST(test_simultaneous_migrations_spread_over_servers);
    CPPUNIT_TEST(test_group_reports_count_until_they_expire);
    CPPUNIT_TEST(test_hosts_covered_by_a_group_report_count_once);
    CPPUNIT_TEST(test_changes_leave_other_servers_unchanged);
    CPPUNIT_TEST(test_short_starts_may_use_the_memory_reserve);
    CPPUNIT_TEST(test_late_starts_use_spare_memory_only);
    CPPUNIT_TEST(test_servers_with_too_many_unread_tokens_are_not_chosen);
    CPPUNIT_TEST(test_an_engine_that_reports_full_is_skipped);
    CPPUNIT_TEST(test_hosts_start_using_a_joining_server_gradually);
    CPPUNIT_TEST(test_hosts_of_one_cell_start_using_a_joining_server_gradually);
    CPPUNIT_TEST(test_a_single_host_uses_a_joining_server_at_once);
    CPPUNIT_TEST(test_a_run_is_rebalanced_to_a_server_with_spare_memory);
    CPPUNIT_TEST(test_a_run_is_not_rebalanced_to_a_loaded_zone);
    CPPUNIT_TEST(test_rebalancing_is_attempted_at_intervals);
    CPPUNIT_TEST(test_a_run_is_not_rebalanced_after_a_departure);
    CPPUNIT_TEST(test_a_run_is_not_rebalanced_over_a_busy_link);
    CPPUNIT_TEST(test_migrations_avoid_a_busy_link);
    CPPUNIT_TEST(test_a_burst_of_migrations_spreads_over_links);
    CPPUNIT_TEST(test_a_host_returns_to_its_preferred_servers);
    CPPUNIT_TEST(test_preferences_of_hosts_use_all_servers_alike);
    CPPUNIT_TEST(test_a_slow_server_is_chosen_last);
    CPPUNIT_TEST(test_a_slow_server_prefills_one_prompt_at_a_time);
    CPPUNIT_TEST(test_a_slow_server_gets_no_prompt_that_would_be_late);
    CPPUNIT_TEST(test_a_slow_server_takes_runs_without_prefill);
    CPPUNIT_TEST(test_a_server_on_probation_gets_one_request_at_a_time);
    CPPUNIT_TEST(test_an_evacuated_zone_gets_nothing);
    CPPUNIT_TEST(test_a_server_that_asked_for_a_backoff_gets_nothing);
    CPPUNIT_TEST(test_a_cold_server_gets_no_more_than_its_rate);
    CPPUNIT_TEST(test_migrations_do_not_wait_for_a_cold_server);
    CPPUNIT_TEST(test_room_for_a_wave_of_leaving_servers_is_kept);
    CPPUNIT_TEST(test_a_wave_of_leaving_servers_is_forgotten);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        service_.name = service_name("lm");
        service_.engine = engine_profile{4, 10000, 1, 1, true, false};
        request_.service = &service_;
        request_.work = {1, 1000, 0};
        request_.preferred_zone = zone_name("east");
        directory_.update(sample_server(1), at_ms(0));
        directory_.update(sample_server(2), at_ms(0));
    }

private:
    service service_;
    placement_request request_;
    server_directory directory_;
    load_ledger ledger_;
    server_health health_;
    slow_server_detector slow_servers_;
    server_limits limits_;
    cold_servers cold_servers_{1};
    zone_evacuations evacuations_;
    placer placer_{
        directory_,
        ledger_,
        health_,
        slow_servers_,
        limits_,
        cold_servers_,
        evacuations_,
        1};

    std::string choose(int now_ms = 0)
    {
        const auto chosen = placer_.choose(request_, at_ms(now_ms));
        if (chosen)
            return chosen->server.id.value();
        return chosen.error() == placement_failure::no_room ? "no room"
                                                            : "no server";
    }

    void test_the_least_loaded_server_is_chosen()
    {
        ledger_.add(server_id("i-1"), {1, 3000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
        ledger_.remove(server_id("i-1"), {1, 3000, 0});
        ledger_.add(server_id("i-2"), {1, 3000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
    }

    void test_neighbour_reports_count_until_they_expire()
    {
        ledger_.add(server_id("i-2"), {1, 2000, 0});
        ledger_.update_from_neighbour(
            host_name("h"), {{server_id("i-1"), {2, 6000, 0}}}, at_ms(0));
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose(3000));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose(3001));
    }

    void test_unread_tokens_count_as_load()
    {
        ledger_.add(server_id("i-1"), {1, 3000, 3000});
        ledger_.add(server_id("i-2"), {1, 4000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    void test_full_servers_are_not_chosen()
    {
        ledger_.add(server_id("i-1"), {1, 8600, 0});
        ledger_.add(server_id("i-2"), {4, 100, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
    }

    void test_migrations_may_use_the_memory_reserve()
    {
        ledger_.add(server_id("i-1"), {1, 8900, 0});
        ledger_.add(server_id("i-2"), {1, 8900, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
        request_.purpose = placement_purpose::migration;
        CPPUNIT_ASSERT(choose() != "no room");
    }

    void test_a_request_above_the_memory_share_gets_an_empty_server()
    {
        request_.work.tokens = 9900;
        ledger_.add(server_id("i-1"), {1, 10, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    void test_excluded_and_draining_servers_are_not_chosen()
    {
        request_.excluded = {server_id("i-1")};
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
        directory_.update(draining(sample_server(2)), at_ms(0));
        CPPUNIT_ASSERT_EQUAL(std::string("no server"), choose());
    }

    void test_avoided_servers_are_chosen_last()
    {
        health_.record_unreachable(server_id("i-1"), at_ms(0));
        ledger_.add(server_id("i-2"), {2, 6000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose(1));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose(501));
        health_.record_unreachable(server_id("i-2"), at_ms(501));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose(502));
    }

    void test_a_failing_server_gets_fewer_requests()
    {
        health_.record_failure(server_id("i-1"));
        ledger_.add(server_id("i-2"), {1, 2000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
        for (int count = 0; count < 20; ++count)
            health_.record_success(server_id("i-1"));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
    }

    void test_starts_stay_in_the_zone_unless_it_is_much_more_loaded()
    {
        directory_.update(sample_server(3, "west"), at_ms(0));
        ledger_.add(server_id("i-1"), {1, 2500, 0});
        ledger_.add(server_id("i-2"), {1, 2500, 0});
        CPPUNIT_ASSERT(choose() != "i-3");
        ledger_.add(server_id("i-1"), {1, 2500, 0});
        ledger_.add(server_id("i-2"), {1, 2500, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-3"), choose());
    }

    void test_migrations_stay_in_the_zone()
    {
        directory_.update(sample_server(3, "west"), at_ms(0));
        ledger_.add(server_id("i-1"), {1, 3000, 0});
        ledger_.add(server_id("i-2"), {1, 3000, 0});
        request_.purpose = placement_purpose::migration;
        for (int count = 0; count < 20; ++count)
            CPPUNIT_ASSERT(choose() != "i-3");
    }

    // All hosts choose at the same time; if all chose the least loaded server,
    // their copies would wait for each other on its link.
    void test_simultaneous_migrations_spread_over_servers()
    {
        directory_.update(sample_server(3), at_ms(0));
        request_.purpose = placement_purpose::migration;
        std::set<std::string> chosen;
        for (std::uint64_t host = 0; host < 12; ++host) {
            placer other(
                directory_,
                ledger_,
                health_,
                slow_servers_,
                limits_,
                cold_servers_,
                evacuations_,
                host);
            chosen.insert(other.choose(request_, at_ms(0))->server.id.value());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, chosen.size());
    }

    void test_group_reports_count_until_they_expire()
    {
        ledger_.add(server_id("i-2"), {1, 2000, 0});
        ledger_.update_from_group(
            host_group("west/0"),
            report_extent::full,
            {{server_id("i-1"), {2, 6000, 0}}},
            at_ms(0));
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose(3000));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose(3001));
    }

    void test_hosts_covered_by_a_group_report_count_once()
    {
        const host_name cell_neighbour("m");
        const host_name other("o");
        const std::vector<server_work> report{{server_id("i-1"), {1, 3000, 0}}};
        ledger_.update_from_neighbour(cell_neighbour, report, at_ms(0));
        ledger_.update_from_neighbour(other, report, at_ms(0));
        ledger_.retain_neighbours({cell_neighbour});
        ledger_.update_from_group(
            host_group("west/1"), report_extent::full, report, at_ms(0));
        const work_size sum = ledger_.at(server_id("i-1"), at_ms(0));
        CPPUNIT_ASSERT(sum == (work_size{2, 6000, 0}));
    }

    void test_changes_leave_other_servers_unchanged()
    {
        const host_group west("west/0");
        ledger_.update_from_group(
            west,
            report_extent::full,
            {{server_id("i-1"), {2, 6000, 0}},
             {server_id("i-2"), {1, 3000, 0}}},
            at_ms(0));
        ledger_.update_from_group(
            west,
            report_extent::changes,
            {{server_id("i-2"), {3, 8000, 0}}},
            at_ms(2000));
        const work_size first = ledger_.at(server_id("i-1"), at_ms(4000));
        CPPUNIT_ASSERT(first == (work_size{2, 6000, 0}));
        const work_size second = ledger_.at(server_id("i-2"), at_ms(4000));
        CPPUNIT_ASSERT(second == (work_size{3, 8000, 0}));
        // Work that is missing from a full report has ended.
        ledger_.update_from_group(
            west,
            report_extent::full,
            {{server_id("i-2"), {3, 8000, 0}}},
            at_ms(4000));
        CPPUNIT_ASSERT(
            ledger_.at(server_id("i-1"), at_ms(4000)) == work_size());
    }

    // Otherwise short requests wait for the long ones of all other hosts.
    void test_short_starts_may_use_the_memory_reserve()
    {
        ledger_.add(server_id("i-1"), {1, 8700, 0});
        ledger_.add(server_id("i-2"), {1, 9100, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
        request_.purpose = placement_purpose::short_start;
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
        ledger_.add(server_id("i-1"), {1, 400, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
    }

    void test_late_starts_use_spare_memory_only()
    {
        ledger_.add(server_id("i-1"), {1, 5000, 0});
        ledger_.add(server_id("i-2"), {1, 7000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
        request_.purpose = placement_purpose::late_start;
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
        ledger_.remove(server_id("i-1"), {0, 1500, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
    }

    // A prompt behind several others is prefilled too late even if there is
    // memory; it waits in the host's queue, from where any server can get it.
    void test_servers_with_too_many_unread_tokens_are_not_chosen()
    {
        request_.work = {1, 1000, 1000};
        request_.max_unread_tokens = 2500;
        ledger_.add(server_id("i-1"), {1, 2000, 2000});
        ledger_.add(server_id("i-2"), {1, 2000, 2000});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
        ledger_.remove(server_id("i-2"), {0, 0, 500});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
        // A server without prefill takes a prompt of any length.
        ledger_.remove(server_id("i-2"), {0, 0, 1500});
        request_.work.unread_tokens = 4000;
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    void test_an_engine_that_reports_full_is_skipped()
    {
        health_.record_full(server_id("i-1"), at_ms(0));
        ledger_.add(server_id("i-2"), {1, 8000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose(1));
        health_.record_full(server_id("i-2"), at_ms(1));
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose(399));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose(400));
    }

    /// Returns how many of 40 hosts choose the third server, which joined at
    /// 2 s.
    int count_hosts_choosing_the_third(int now_ms)
    {
        int count = 0;
        for (std::uint64_t host = 0; host < 40; ++host) {
            placer other(
                directory_,
                ledger_,
                health_,
                slow_servers_,
                limits_,
                cold_servers_,
                evacuations_,
                host);
            const auto chosen = other.choose(request_, at_ms(now_ms));
            count += chosen->server.id == server_id("i-3") ? 1 : 0;
        }
        return count;
    }

    void join_the_third()
    {
        ledger_.add(server_id("i-1"), {1, 3000, 0});
        ledger_.add(server_id("i-2"), {1, 3000, 0});
        directory_.update(sample_server(3), at_ms(2000));
    }

    // Hosts of other cells learn late what a new server got already.
    void test_hosts_start_using_a_joining_server_gradually()
    {
        join_the_third();
        ledger_.update_from_group(
            host_group("west/0"), report_extent::full, {}, at_ms(2000));
        const int at_first = count_hosts_choosing_the_third(2060);
        CPPUNIT_ASSERT(at_first > 0);
        CPPUNIT_ASSERT(at_first < 15);
        CPPUNIT_ASSERT(count_hosts_choosing_the_third(2300) > at_first);
        CPPUNIT_ASSERT_EQUAL(40, count_hosts_choosing_the_third(2600));
    }

    void test_hosts_of_one_cell_start_using_a_joining_server_gradually()
    {
        join_the_third();
        ledger_.update_from_neighbour(host_name("h"), {}, at_ms(2000));
        const int at_first = count_hosts_choosing_the_third(2060);
        CPPUNIT_ASSERT(at_first > 0);
        CPPUNIT_ASSERT(at_first < 15);
        CPPUNIT_ASSERT_EQUAL(40, count_hosts_choosing_the_third(2600));
    }

    void test_a_single_host_uses_a_joining_server_at_once()
    {
        join_the_third();
        CPPUNIT_ASSERT_EQUAL(40, count_hosts_choosing_the_third(2000));
    }

    const remote_run remote_{
        sample_server(7, "west"), {1, 3000, 0}, 500, std::nullopt};
    zone_rebalancer rebalancer_{zone_name("east")};

    void test_a_run_is_rebalanced_to_a_server_with_spare_memory()
    {
        directory_.update(remote_.server, at_ms(0));
        ledger_.add(server_id("i-1"), {1, 4500, 0});
        ledger_.add(server_id("i-2"), {2, 4400, 0});
        CPPUNIT_ASSERT(rebalancer_.is_due(remote_, at_ms(0)));
        request_ = rebalancer_.make_request(service_, remote_.work);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    void test_a_run_is_not_rebalanced_to_a_loaded_zone()
    {
        directory_.update(remote_.server, at_ms(0));
        directory_.update(sample_server(8, "west"), at_ms(0));
        // Starts would fit here, and there is an empty server in the west.
        ledger_.add(server_id("i-1"), {1, 4600, 0});
        ledger_.add(server_id("i-2"), {1, 4600, 0});
        request_ = rebalancer_.make_request(service_, remote_.work);
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
    }

    void test_rebalancing_is_attempted_at_intervals()
    {
        rebalancer_.record_attempt(at_ms(1000));
        CPPUNIT_ASSERT(!rebalancer_.is_due(remote_, at_ms(1199)));
        CPPUNIT_ASSERT(rebalancer_.is_due(remote_, at_ms(1200)));
        remote_run in_zone = remote_;
        in_zone.server.zone = zone_name("east");
        CPPUNIT_ASSERT(!rebalancer_.is_due(in_zone, at_ms(1400)));
        remote_run ending = remote_;
        ending.remaining_tokens = 63;
        CPPUNIT_ASSERT(!rebalancer_.is_due(ending, at_ms(1400)));
    }

    void test_a_run_is_not_rebalanced_after_a_departure()
    {
        remote_run run = remote_;
        run.last_departure = at_ms(5000);
        CPPUNIT_ASSERT(!rebalancer_.is_due(run, at_ms(5999)));
        CPPUNIT_ASSERT(rebalancer_.is_due(run, at_ms(6000)));
    }

    void test_a_run_is_not_rebalanced_over_a_busy_link()
    {
        ledger_.add(server_id("i-1"), {1, 3000, 0, 3000});
        ledger_.add(server_id("i-2"), {1, 3000, 0, 3000});
        request_ = rebalancer_.make_request(service_, remote_.work);
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
        ledger_.remove(server_id("i-2"), {0, 0, 0, 3000});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    // A token takes a megabyte here, and the link copies 2,000 a second.
    void use_slow_links()
    {
        service_.engine->token_bytes = 1'000'000;
        service_.engine->link_mbit_per_second = 16000;
        request_.purpose = placement_purpose::migration;
    }

    void test_migrations_avoid_a_busy_link()
    {
        use_slow_links();
        ledger_.add(server_id("i-1"), {1, 1000, 0, 1000});
        ledger_.add(server_id("i-2"), {4 - 1, 4000, 0, 0});
        for (int count = 0; count < 20; ++count)
            CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    // Ten runs of 1,000 tokens are migrated to two servers in their zone and
    // two in another one, to which a copy takes twice as long.
    void test_a_burst_of_migrations_spreads_over_links()
    {
        use_slow_links();
        service_.engine->memory_tokens = 34000;
        request_.work = {1, 1000, 0, 1000};
        std::map<std::string, int> runs;
        for (int number = 1; number <= 4; ++number) {
            auto server = sample_server(number, number < 3 ? "east" : "west");
            server.slots = 24;
            server.revision = 2;
            directory_.update(server, at_ms(0));
        }
        for (int count = 0; count < 10; ++count) {
            const std::string chosen = choose();
            ledger_.add(server_id(chosen), request_.work);
            ++runs[chosen];
        }
        // Copies of 4 runs to each server of the zone take 2 s; copies to the
        // others take 1 s each.
        CPPUNIT_ASSERT(runs["i-1"] >= 2 && runs["i-1"] <= 4);
        CPPUNIT_ASSERT(runs["i-2"] >= 2 && runs["i-2"] <= 4);
        CPPUNIT_ASSERT(runs["i-3"] >= 1 && runs["i-4"] >= 1);
    }

    // "i-1" decodes three times slower than four others.
    void make_the_first_slow(int now_ms)
    {
        std::vector<server_gaps> observed{{server_id("i-1"), {1, 120}, false}};
        for (int server = 2; server <= 5; ++server)
            observed.push_back(
                {server_id("i-" + std::to_string(server)), {1, 40}, false});
        [[maybe_unused]] const auto changes =
            slow_servers_.compare(observed, at_ms(now_ms));
    }

    void exclude_the_second() { request_.excluded = {server_id("i-2")}; }

    // Each new server would cost a connection, and prompts are cached where
    // they were before.
    void test_a_host_returns_to_its_preferred_servers()
    {
        for (int number = 3; number <= 200; ++number)
            directory_.update(sample_server(number), at_ms(0));
        const std::string first = choose();
        for (int count = 0; count < 100; ++count)
            CPPUNIT_ASSERT_EQUAL(first, choose());
        // A busy server is not waited for, and the next one is preferred then.
        ledger_.add(server_id(first), {1, 1000, 0});
        const std::string second = choose();
        CPPUNIT_ASSERT(first != second);
        CPPUNIT_ASSERT_EQUAL(second, choose());
        ledger_.remove(server_id(first), {1, 1000, 0});
        CPPUNIT_ASSERT_EQUAL(first, choose());
    }

    // Also after a server left, which moves only its own share.
    void test_preferences_of_hosts_use_all_servers_alike()
    {
        constexpr int servers = 50;
        constexpr std::uint64_t hosts = 2000;
        for (int number = 3; number <= servers; ++number)
            directory_.update(sample_server(number), at_ms(0));
        std::map<std::uint64_t, std::string> before;
        std::map<std::string, int> counts;
        const auto choose_as = [this](std::uint64_t host) {
            placer of_host{
                directory_,
                ledger_,
                health_,
                slow_servers_,
                limits_,
                cold_servers_,
                evacuations_,
                host};
            return of_host.choose(request_, at_ms(0))->server.id.value();
        };
        for (std::uint64_t host = 1; host <= hosts; ++host)
            ++counts[before[host] = choose_as(host)];
        CPPUNIT_ASSERT_EQUAL(std::size_t{servers}, counts.size());
        for (const auto& [server, count] : counts)
            CPPUNIT_ASSERT(count < 80); // Twice the mean.
        const std::string left = counts.begin()->first;
        directory_.remove(server_id(left), source_state::steady, at_ms(0));
        for (const auto& [host, server] : before) {
            if (server != left)
                CPPUNIT_ASSERT_EQUAL(server, choose_as(host));
        }
    }

    void test_a_slow_server_is_chosen_last()
    {
        ledger_.add(server_id("i-2"), {2, 8000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
        make_the_first_slow(0);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
        // A request without an alternative is placed there.
        ledger_.add(server_id("i-2"), {1, 1500, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
    }

    void test_a_slow_server_prefills_one_prompt_at_a_time()
    {
        exclude_the_second();
        make_the_first_slow(0);
        request_.work = {1, 1000, 1000};
        request_.max_unread_tokens = 4000;
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
        ledger_.add(server_id("i-1"), {1, 500, 500});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
    }

    void test_a_slow_server_gets_no_prompt_that_would_be_late()
    {
        exclude_the_second();
        make_the_first_slow(0);
        request_.work = {1, 1000, 1000};
        request_.max_unread_tokens = 3000;
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
        request_.max_unread_tokens = 2999;
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
    }

    void test_a_slow_server_takes_runs_without_prefill()
    {
        exclude_the_second();
        make_the_first_slow(0);
        ledger_.add(server_id("i-1"), {1, 500, 500});
        request_.purpose = placement_purpose::migration;
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
    }

    void test_a_server_on_probation_gets_one_request_at_a_time()
    {
        make_the_first_slow(0);
        ledger_.add(server_id("i-2"), {2, 6000, 0});
        constexpr int tried_from_ms = 2001;
        int trying = 0;
        for (std::uint64_t host = 0; host < 100; ++host) {
            placer other(
                directory_,
                ledger_,
                health_,
                slow_servers_,
                limits_,
                cold_servers_,
                evacuations_,
                host);
            const auto chosen = other.choose(request_, at_ms(tried_from_ms));
            trying += chosen->server.id == server_id("i-1") ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, trying);
        // All hosts may try it at the end of the probation period.
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose(12'000));
        ledger_.add(server_id("i-1"), {1, 100, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose(12'000));
    }

    void test_an_evacuated_zone_gets_nothing()
    {
        directory_.update(sample_server(3, "west"), at_ms(0));
        evacuations_.update({zone_name("east"), true, {1, 1}}, at_ms(0));
        request_.work.unread_tokens = 0;
        for (const placement_purpose purpose :
             {placement_purpose::start,
              placement_purpose::short_start,
              placement_purpose::late_start,
              placement_purpose::migration,
              placement_purpose::rebalance}) {
            request_.purpose = purpose;
            for (int attempt = 0; attempt < 20; ++attempt)
                CPPUNIT_ASSERT_EQUAL(std::string("i-3"), choose());
        }
        evacuations_.update({zone_name("west"), true, {1, 2}}, at_ms(0));
        const auto chosen = placer_.choose(request_, at_ms(0));
        CPPUNIT_ASSERT(placement_failure::evacuated == chosen.error());
        evacuations_.update({zone_name("east"), false, {1, 3}}, at_ms(0));
        CPPUNIT_ASSERT(choose() != "i-3");
    }

    void test_a_server_that_asked_for_a_backoff_gets_nothing()
    {
        health_.record_requested_backoff(
            server_id("i-1"), std::chrono::seconds(3), at_ms(0));
        for (int now = 0; now < 3000; now += 100)
            CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose(now));
        health_.record_requested_backoff(
            server_id("i-2"), std::chrono::seconds(3), at_ms(0));
        for (const placement_purpose purpose :
             {placement_purpose::start,
              placement_purpose::short_start,
              placement_purpose::late_start,
              placement_purpose::migration,
              placement_purpose::rebalance}) {
            request_.purpose = purpose;
            CPPUNIT_ASSERT(
                placement_failure::limited ==
                placer_.choose(request_, at_ms(2999)).error());
        }
        request_.purpose = placement_purpose::start;
        CPPUNIT_ASSERT(choose(3000) != "no room");
    }

    void test_a_cold_server_gets_no_more_than_its_rate()
    {
        service_.engine.reset();
        const godwit::routing::warm_up_profile profile{
            std::chrono::seconds(2), 10.0};
        for (const char* id : {"i-1", "i-2"})
            cold_servers_.record(
                server_id(id), profile, profile.duration, at_ms(0));
        int sent = 0;
        for (int now = 0; now < 2000; ++now) {
            const auto chosen = placer_.choose(request_, at_ms(now));
            if (!chosen) {
                CPPUNIT_ASSERT(placement_failure::limited == chosen.error());
                continue;
            }
            cold_servers_.record_own_request(chosen->server.id, at_ms(now));
            ++sent;
        }
        CPPUNIT_ASSERT(sent > 20);
        CPPUNIT_ASSERT(sent <= 42);
        CPPUNIT_ASSERT(choose(2000) != "no room");
    }

    // Their copies pace them, and their servers end soon.
    void test_migrations_do_not_wait_for_a_cold_server()
    {
        const godwit::routing::warm_up_profile profile{
            std::chrono::seconds(2), 10.0};
        for (const char* id : {"i-1", "i-2"}) {
            cold_servers_.record(
                server_id(id), profile, profile.duration, at_ms(0));
            cold_servers_.record_requests(server_id(id), 20, at_ms(0));
        }
        CPPUNIT_ASSERT(
            placement_failure::limited ==
            placer_.choose(request_, at_ms(1)).error());
        request_.purpose = placement_purpose::migration;
        CPPUNIT_ASSERT(placer_.choose(request_, at_ms(1)));
    }

    // Starts fill servers as far as they may; then two of twelve leave, with
    // what runs there. Returns how many of their generations find no room.
    std::size_t lost_in_wave(bool has_left_before)
    {
        server_directory directory;
        load_ledger ledger;
        placer chooser(
            directory,
            ledger,
            health_,
            slow_servers_,
            limits_,
            cold_servers_,
            evacuations_,
            1);
        for (int number = 1; number <= 14; ++number) {
            backend_server server = sample_server(number);
            server.slots = 100;
            directory.update(server, at_ms(0));
        }
        if (has_left_before) {
            directory.update(draining(sample_server(13)), at_ms(100));
            directory.update(draining(sample_server(14)), at_ms(110));
        }
        placement_request request = request_;
        request.work = {1, 500, 0};
        service_.engine->can_migrate = true;
        std::map<server_id, std::size_t> running;
        while (const auto chosen = chooser.choose(request, at_ms(5000))) {
            ledger.add(chosen->server.id, request.work);
            ++running[chosen->server.id];
            CPPUNIT_ASSERT(running.size() <= 14);
        }
        directory.update(draining(sample_server(1)), at_ms(5000));
        directory.update(draining(sample_server(2)), at_ms(5000));
        request.purpose = placement_purpose::migration;
        std::size_t lost = 0;
        for (const char* id : {"i-1", "i-2"}) {
            for (; running[server_id(id)] > 0; --running[server_id(id)]) {
                const auto chosen = chooser.choose(request, at_ms(5000));
                if (chosen)
                    ledger.add(chosen->server.id, request.work);
                else
                    ++lost;
            }
        }
        return lost;
    }

    void test_room_for_a_wave_of_leaving_servers_is_kept()
    {
        CPPUNIT_ASSERT(lost_in_wave(false) > 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, lost_in_wave(true));
    }

    void test_a_wave_of_leaving_servers_is_forgotten()
    {
        service_.engine->can_migrate = true;
        directory_.update(sample_server(3), at_ms(0));
        directory_.update(draining(sample_server(3)), at_ms(0));
        ledger_.add(server_id("i-1"), {1, 8000, 0});
        ledger_.add(server_id("i-2"), {1, 8000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose(1000));
        CPPUNIT_ASSERT(choose(16'000) != "no room");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placer_test);

} // namespace
