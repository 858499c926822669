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
    CPPUNIT_TEST(test_the_emptier_server_is_chosen);
    CPPUNIT_TEST(test_neighbours_work_counts_until_it_is_old);
    CPPUNIT_TEST(test_unread_prompts_weigh);
    CPPUNIT_TEST(test_full_servers_are_no_room);
    CPPUNIT_TEST(test_a_migration_may_use_what_starts_leave_free);
    CPPUNIT_TEST(test_a_request_larger_than_the_share_gets_an_empty_server);
    CPPUNIT_TEST(test_excluded_and_leaving_servers_are_no_server);
    CPPUNIT_TEST(test_avoided_servers_come_last);
    CPPUNIT_TEST(test_a_failing_server_gets_less);
    CPPUNIT_TEST(test_migrations_stay_in_the_zone);
    CPPUNIT_TEST(test_starts_stay_in_the_zone_while_it_is_not_much_fuller);
    CPPUNIT_TEST(test_migrations_spread);
    CPPUNIT_TEST(test_sums_of_other_cells_count_until_they_are_old);
    CPPUNIT_TEST(test_hosts_that_a_group_tells_of_count_once);
    CPPUNIT_TEST(test_changes_of_a_sum_leave_the_others);
    CPPUNIT_TEST(test_short_starts_find_room_that_long_ones_leave);
    CPPUNIT_TEST(test_late_starts_take_spare_memory_only);
    CPPUNIT_TEST(test_prompts_do_not_wait_where_many_are_read);
    CPPUNIT_TEST(test_an_engine_that_says_it_is_full_is_passed_over);
    CPPUNIT_TEST(test_hosts_begin_with_a_joining_server_one_by_one);
    CPPUNIT_TEST(test_one_cell_begins_with_a_joining_server_one_by_one);
    CPPUNIT_TEST(test_a_host_alone_begins_with_a_joining_server_at_once);
    CPPUNIT_TEST(test_a_run_comes_home_where_plenty_is_left);
    CPPUNIT_TEST(test_a_run_stays_where_home_has_no_room);
    CPPUNIT_TEST(test_a_run_looks_for_home_now_and_then);
    CPPUNIT_TEST(test_a_run_stays_while_others_need_the_links);
    CPPUNIT_TEST(test_a_run_does_not_come_home_beside_a_copy);
    CPPUNIT_TEST(test_migrations_avoid_a_link_with_copies);
    CPPUNIT_TEST(test_a_wave_of_migrations_spreads_over_links);
    CPPUNIT_TEST(test_a_slow_server_is_chosen_last);
    CPPUNIT_TEST(test_a_slow_server_reads_one_prompt_at_a_time);
    CPPUNIT_TEST(test_a_slow_server_gets_no_prompt_that_would_be_late);
    CPPUNIT_TEST(test_a_slow_server_takes_runs_that_read_nothing);
    CPPUNIT_TEST(test_a_server_that_may_be_slow_is_tried_by_one_at_a_time);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        service_.name = service_name("lm");
        service_.engine = engine_profile{4, 10000, 1, 1, true, false};
        wanted_.service = &service_;
        wanted_.work = {1, 1000, 0};
        wanted_.preferred_zone = zone_name("east");
        directory_.listed(sample_server(1), at_ms(0));
        directory_.listed(sample_server(2), at_ms(0));
    }

private:
    service service_;
    placement_request wanted_;
    server_directory directory_;
    load_ledger ledger_;
    server_health health_;
    slow_server_detector paces_;
    server_limits limits_;
    placer placer_{directory_, ledger_, health_, paces_, limits_, 1};

    std::string choose(int now_ms = 0)
    {
        const auto chosen = placer_.choose(wanted_, at_ms(now_ms));
        if (chosen)
            return chosen->server.id.value();
        return chosen.error() == placement_failure::no_room ? "no room"
                                                            : "no server";
    }

    void test_the_emptier_server_is_chosen()
    {
        ledger_.add(server_id("i-1"), {1, 3000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
        ledger_.remove(server_id("i-1"), {1, 3000, 0});
        ledger_.add(server_id("i-2"), {1, 3000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
    }

    void test_neighbours_work_counts_until_it_is_old()
    {
        ledger_.add(server_id("i-2"), {1, 2000, 0});
        ledger_.update_from_neighbour(
            host_name("h"), {{server_id("i-1"), {2, 6000, 0}}}, at_ms(0));
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose(3000));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose(3001));
    }

    void test_unread_prompts_weigh()
    {
        ledger_.add(server_id("i-1"), {1, 3000, 3000});
        ledger_.add(server_id("i-2"), {1, 4000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    void test_full_servers_are_no_room()
    {
        ledger_.add(server_id("i-1"), {1, 8600, 0});
        ledger_.add(server_id("i-2"), {4, 100, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
    }

    void test_a_migration_may_use_what_starts_leave_free()
    {
        ledger_.add(server_id("i-1"), {1, 8900, 0});
        ledger_.add(server_id("i-2"), {1, 8900, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
        wanted_.purpose = placement_purpose::migration;
        CPPUNIT_ASSERT(choose() != "no room");
    }

    void test_a_request_larger_than_the_share_gets_an_empty_server()
    {
        wanted_.work.tokens = 9900;
        ledger_.add(server_id("i-1"), {1, 10, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    void test_excluded_and_leaving_servers_are_no_server()
    {
        wanted_.excluded = {server_id("i-1")};
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
        directory_.listed(leaving(sample_server(2)), at_ms(0));
        CPPUNIT_ASSERT_EQUAL(std::string("no server"), choose());
    }

    void test_avoided_servers_come_last()
    {
        health_.record_unreachable(server_id("i-1"), at_ms(0));
        ledger_.add(server_id("i-2"), {2, 6000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose(1));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose(501));
        health_.record_unreachable(server_id("i-2"), at_ms(501));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose(502));
    }

    void test_a_failing_server_gets_less()
    {
        health_.record_failure(server_id("i-1"));
        ledger_.add(server_id("i-2"), {1, 2000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
        for (int count = 0; count < 20; ++count)
            health_.record_success(server_id("i-1"));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
    }

    void test_starts_stay_in_the_zone_while_it_is_not_much_fuller()
    {
        directory_.listed(sample_server(3, "west"), at_ms(0));
        ledger_.add(server_id("i-1"), {1, 2500, 0});
        ledger_.add(server_id("i-2"), {1, 2500, 0});
        CPPUNIT_ASSERT(choose() != "i-3");
        ledger_.add(server_id("i-1"), {1, 2500, 0});
        ledger_.add(server_id("i-2"), {1, 2500, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-3"), choose());
    }

    void test_migrations_stay_in_the_zone()
    {
        directory_.listed(sample_server(3, "west"), at_ms(0));
        ledger_.add(server_id("i-1"), {1, 3000, 0});
        ledger_.add(server_id("i-2"), {1, 3000, 0});
        wanted_.purpose = placement_purpose::migration;
        for (int count = 0; count < 20; ++count)
            CPPUNIT_ASSERT(choose() != "i-3");
    }

    // Every host chooses at the same moment; if all chose the emptiest, their
    // copies would wait for each other on its link.
    void test_migrations_spread()
    {
        directory_.listed(sample_server(3), at_ms(0));
        wanted_.purpose = placement_purpose::migration;
        std::set<std::string> chosen;
        for (std::uint64_t host = 0; host < 12; ++host) {
            placer other(directory_, ledger_, health_, paces_, limits_, host);
            chosen.insert(other.choose(wanted_, at_ms(0))->server.id.value());
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, chosen.size());
    }

    void test_sums_of_other_cells_count_until_they_are_old()
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

    void test_hosts_that_a_group_tells_of_count_once()
    {
        const host_name mate("m");
        const host_name other("o");
        const std::vector<server_work> word{{server_id("i-1"), {1, 3000, 0}}};
        ledger_.update_from_neighbour(mate, word, at_ms(0));
        ledger_.update_from_neighbour(other, word, at_ms(0));
        ledger_.retain_neighbours({mate});
        ledger_.update_from_group(
            host_group("west/1"), report_extent::full, word, at_ms(0));
        const work_size sum = ledger_.at(server_id("i-1"), at_ms(0));
        CPPUNIT_ASSERT(sum == (work_size{2, 6000, 0}));
    }

    void test_changes_of_a_sum_leave_the_others()
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
        // What is not named in a whole word has ended.
        ledger_.update_from_group(
            west,
            report_extent::full,
            {{server_id("i-2"), {3, 8000, 0}}},
            at_ms(4000));
        CPPUNIT_ASSERT(
            ledger_.at(server_id("i-1"), at_ms(4000)) == work_size());
    }

    // Otherwise a short one waits behind the long ones of every other host.
    void test_short_starts_find_room_that_long_ones_leave()
    {
        ledger_.add(server_id("i-1"), {1, 8700, 0});
        ledger_.add(server_id("i-2"), {1, 9100, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
        wanted_.purpose = placement_purpose::short_start;
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
        ledger_.add(server_id("i-1"), {1, 400, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
    }

    void test_late_starts_take_spare_memory_only()
    {
        ledger_.add(server_id("i-1"), {1, 5000, 0});
        ledger_.add(server_id("i-2"), {1, 7000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
        wanted_.purpose = placement_purpose::late_start;
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
        ledger_.remove(server_id("i-1"), {0, 1500, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
    }

    // A prompt behind several others is read too late, however much memory
    // there is; it waits where it can still go elsewhere.
    void test_prompts_do_not_wait_where_many_are_read()
    {
        wanted_.work = {1, 1000, 1000};
        wanted_.max_unread_tokens = 2500;
        ledger_.add(server_id("i-1"), {1, 2000, 2000});
        ledger_.add(server_id("i-2"), {1, 2000, 2000});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
        ledger_.remove(server_id("i-2"), {0, 0, 500});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
        // A server that reads nothing takes a prompt of any length.
        ledger_.remove(server_id("i-2"), {0, 0, 1500});
        wanted_.work.unread_tokens = 4000;
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    void test_an_engine_that_says_it_is_full_is_passed_over()
    {
        health_.record_full(server_id("i-1"), at_ms(0));
        ledger_.add(server_id("i-2"), {1, 8000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose(1));
        health_.record_full(server_id("i-2"), at_ms(1));
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose(399));
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose(400));
    }

    /// How many of 40 hosts choose the third server, which joined at 2 s.
    int hosts_at_the_third(int now_ms)
    {
        int count = 0;
        for (std::uint64_t host = 0; host < 40; ++host) {
            placer other(directory_, ledger_, health_, paces_, limits_, host);
            const auto chosen = other.choose(wanted_, at_ms(now_ms));
            count += chosen->server.id == server_id("i-3") ? 1 : 0;
        }
        return count;
    }

    void join_the_third()
    {
        ledger_.add(server_id("i-1"), {1, 3000, 0});
        ledger_.add(server_id("i-2"), {1, 3000, 0});
        directory_.listed(sample_server(3), at_ms(2000));
    }

    // Hosts of other cells hear late what a new server got already.
    void test_hosts_begin_with_a_joining_server_one_by_one()
    {
        join_the_third();
        ledger_.update_from_group(
            host_group("west/0"), report_extent::full, {}, at_ms(2000));
        const int at_first = hosts_at_the_third(2060);
        CPPUNIT_ASSERT(at_first > 0);
        CPPUNIT_ASSERT(at_first < 15);
        CPPUNIT_ASSERT(hosts_at_the_third(2300) > at_first);
        CPPUNIT_ASSERT_EQUAL(40, hosts_at_the_third(2600));
    }

    void test_one_cell_begins_with_a_joining_server_one_by_one()
    {
        join_the_third();
        ledger_.update_from_neighbour(host_name("h"), {}, at_ms(2000));
        const int at_first = hosts_at_the_third(2060);
        CPPUNIT_ASSERT(at_first > 0);
        CPPUNIT_ASSERT(at_first < 15);
        CPPUNIT_ASSERT_EQUAL(40, hosts_at_the_third(2600));
    }

    void test_a_host_alone_begins_with_a_joining_server_at_once()
    {
        join_the_third();
        CPPUNIT_ASSERT_EQUAL(40, hosts_at_the_third(2000));
    }

    const remote_run remote_{
        sample_server(7, "west"), {1, 3000, 0}, 500, std::nullopt};
    zone_rebalancer rebalancing_{zone_name("east")};

    void test_a_run_comes_home_where_plenty_is_left()
    {
        directory_.listed(remote_.server, at_ms(0));
        ledger_.add(server_id("i-1"), {1, 4500, 0});
        ledger_.add(server_id("i-2"), {2, 4400, 0});
        CPPUNIT_ASSERT(rebalancing_.is_due(remote_, at_ms(0)));
        wanted_ = rebalancing_.make_request(service_, remote_.work);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    void test_a_run_stays_where_home_has_no_room()
    {
        directory_.listed(remote_.server, at_ms(0));
        directory_.listed(sample_server(8, "west"), at_ms(0));
        // Starts would find room here, and an empty server in the west.
        ledger_.add(server_id("i-1"), {1, 4600, 0});
        ledger_.add(server_id("i-2"), {1, 4600, 0});
        wanted_ = rebalancing_.make_request(service_, remote_.work);
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
    }

    void test_a_run_looks_for_home_now_and_then()
    {
        rebalancing_.record_attempt(at_ms(1000));
        CPPUNIT_ASSERT(!rebalancing_.is_due(remote_, at_ms(1199)));
        CPPUNIT_ASSERT(rebalancing_.is_due(remote_, at_ms(1200)));
        remote_run at_home = remote_;
        at_home.server.zone = zone_name("east");
        CPPUNIT_ASSERT(!rebalancing_.is_due(at_home, at_ms(1400)));
        remote_run ending = remote_;
        ending.tokens_left = 63;
        CPPUNIT_ASSERT(!rebalancing_.is_due(ending, at_ms(1400)));
    }

    void test_a_run_stays_while_others_need_the_links()
    {
        remote_run run = remote_;
        run.last_departure = at_ms(5000);
        CPPUNIT_ASSERT(!rebalancing_.is_due(run, at_ms(5999)));
        CPPUNIT_ASSERT(rebalancing_.is_due(run, at_ms(6000)));
    }

    void test_a_run_does_not_come_home_beside_a_copy()
    {
        ledger_.add(server_id("i-1"), {1, 3000, 0, 3000});
        ledger_.add(server_id("i-2"), {1, 3000, 0, 3000});
        wanted_ = rebalancing_.make_request(service_, remote_.work);
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
        ledger_.remove(server_id("i-2"), {0, 0, 0, 3000});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    // One token is a megabyte here, and the link takes 2,000 a second.
    void use_slow_links()
    {
        service_.engine->token_bytes = 1'000'000;
        service_.engine->link_mbit_per_second = 16000;
        wanted_.purpose = placement_purpose::migration;
    }

    void test_migrations_avoid_a_link_with_copies()
    {
        use_slow_links();
        ledger_.add(server_id("i-1"), {1, 1000, 0, 1000});
        ledger_.add(server_id("i-2"), {4 - 1, 4000, 0, 0});
        for (int count = 0; count < 20; ++count)
            CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
    }

    // Ten runs of 1,000 tokens have to leave: two servers in their zone, two
    // in another one to which a copy takes twice as long.
    void test_a_wave_of_migrations_spreads_over_links()
    {
        use_slow_links();
        service_.engine->memory_tokens = 34000;
        wanted_.work = {1, 1000, 0, 1000};
        std::map<std::string, int> runs;
        for (int number = 1; number <= 4; ++number) {
            auto server = sample_server(number, number < 3 ? "east" : "west");
            server.slots = 24;
            server.revision = 2;
            directory_.listed(server, at_ms(0));
        }
        for (int count = 0; count < 10; ++count) {
            const std::string chosen = choose();
            ledger_.add(server_id(chosen), wanted_.work);
            ++runs[chosen];
        }
        // In the order of their copies: 4, 4 at home end after 2 s, and the
        // others take 1 s each.
        CPPUNIT_ASSERT(runs["i-1"] >= 2 && runs["i-1"] <= 4);
        CPPUNIT_ASSERT(runs["i-2"] >= 2 && runs["i-2"] <= 4);
        CPPUNIT_ASSERT(runs["i-3"] >= 1 && runs["i-4"] >= 1);
    }

    // "i-1" writes three times slower than four others.
    void slow_down_the_first(int now_ms)
    {
        std::vector<server_gaps> seen{{server_id("i-1"), {1, 120}, false}};
        for (int server = 2; server <= 5; ++server)
            seen.push_back(
                {server_id("i-" + std::to_string(server)), {1, 40}, false});
        [[maybe_unused]] const auto changes =
            paces_.compare(seen, at_ms(now_ms));
    }

    void leave_the_first_alone() { wanted_.excluded = {server_id("i-2")}; }

    void test_a_slow_server_is_chosen_last()
    {
        ledger_.add(server_id("i-2"), {2, 8000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
        slow_down_the_first(0);
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose());
        // What has nowhere else to go goes there.
        ledger_.add(server_id("i-2"), {1, 1500, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
    }

    void test_a_slow_server_reads_one_prompt_at_a_time()
    {
        leave_the_first_alone();
        slow_down_the_first(0);
        wanted_.work = {1, 1000, 1000};
        wanted_.max_unread_tokens = 4000;
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
        ledger_.add(server_id("i-1"), {1, 500, 500});
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
    }

    void test_a_slow_server_gets_no_prompt_that_would_be_late()
    {
        leave_the_first_alone();
        slow_down_the_first(0);
        wanted_.work = {1, 1000, 1000};
        wanted_.max_unread_tokens = 3000;
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
        wanted_.max_unread_tokens = 2999;
        CPPUNIT_ASSERT_EQUAL(std::string("no room"), choose());
    }

    void test_a_slow_server_takes_runs_that_read_nothing()
    {
        leave_the_first_alone();
        slow_down_the_first(0);
        ledger_.add(server_id("i-1"), {1, 500, 500});
        wanted_.purpose = placement_purpose::migration;
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose());
    }

    void test_a_server_that_may_be_slow_is_tried_by_one_at_a_time()
    {
        slow_down_the_first(0);
        ledger_.add(server_id("i-2"), {2, 6000, 0});
        constexpr int tried_from_ms = 2001;
        int trying = 0;
        for (std::uint64_t host = 0; host < 100; ++host) {
            placer other(directory_, ledger_, health_, paces_, limits_, host);
            const auto chosen = other.choose(wanted_, at_ms(tried_from_ms));
            trying += chosen->server.id == server_id("i-1") ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(0, trying);
        // All would by the end of the doubt.
        CPPUNIT_ASSERT_EQUAL(std::string("i-1"), choose(12'000));
        ledger_.add(server_id("i-1"), {1, 100, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), choose(12'000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placer_test);

} // namespace
