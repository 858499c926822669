#include "engine_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <cstdlib>

using namespace godwit;
using namespace godwit::orders;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

class reconciler_faults_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reconciler_faults_test);
    CPPUNIT_TEST(test_reaches_the_targets_and_stays);
    CPPUNIT_TEST(test_last_serving_engine_stays_until_routed_elsewhere);
    CPPUNIT_TEST(test_holder_paused_beyond_its_lease);
    CPPUNIT_TEST(test_pause_while_the_clock_stood_still);
    CPPUNIT_TEST(test_order_frozen_after_the_check);
    CPPUNIT_TEST(test_two_agents_think_that_they_own_the_pool);
    CPPUNIT_TEST(test_lost_orders_and_answers);
    CPPUNIT_TEST(test_lost_append_answers);
    CPPUNIT_TEST(test_lease_is_kept_while_answers_are_late);
    CPPUNIT_TEST(test_log_outage_stops_orders_only);
    CPPUNIT_TEST(test_weight_store_rate);
    CPPUNIT_TEST(test_holder_restarted);
    CPPUNIT_TEST(test_unknown_newer_number);
    CPPUNIT_TEST(test_random_faults);
    CPPUNIT_TEST(test_measure);
    CPPUNIT_TEST_SUITE_END();

    engine_fleet_options options(bool checks = true)
    {
        engine_fleet_options chosen;
        chosen.checks_fencing = checks;
        return chosen;
    }

    /// Lets the first lease be taken.
    std::size_t settle(engine_fleet& fleet)
    {
        fleet.run_for(seconds(25));
        const auto holder = fleet.holder();
        CPPUNIT_ASSERT(holder);
        return *holder;
    }

    void test_reaches_the_targets_and_stays()
    {
        for (const bool checks : {true, false}) {
            engine_fleet fleet(options(checks));
            settle(fleet);
            fleet.want("2", "2");
            CPPUNIT_ASSERT(fleet.time_to_reach(seconds(120)));
            fleet.run_for(seconds(5));
            const auto orders = fleet.sent.size();
            fleet.run_for(seconds(120));
            CPPUNIT_ASSERT_EQUAL(orders, fleet.sent.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{12}, fleet.figures().loads);
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.figures().stale_sent);
        }
    }

    void test_last_serving_engine_stays_until_routed_elsewhere()
    {
        engine_fleet fleet(options());
        settle(fleet);
        fleet.want("2", "1");
        for (int step = 0; step < 1200; ++step) {
            fleet.run_for(milliseconds(100));
            CPPUNIT_ASSERT(fleet.serving("1") >= 1);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, fleet.serving("2"));
        fleet.want("2", "2");
        CPPUNIT_ASSERT(fleet.time_to_reach(seconds(20)));
    }

    void test_holder_paused_beyond_its_lease()
    {
        for (const bool checks : {true, false}) {
            engine_fleet fleet(options(checks));
            const auto first = settle(fleet);
            fleet.want("2", "2");
            fleet.run_for(seconds(8));
            fleet.pause(first, seconds(60));
            // The others see it gone after a while.
            for (std::size_t agent = 0; agent < 6; ++agent) {
                std::vector<std::size_t> others;
                for (std::size_t host = 0; host < 6; ++host)
                    if (host != first)
                        others.push_back(host);
                if (agent != first)
                    fleet.see_hosts(agent, others);
            }
            fleet.run_for(seconds(45));
            const auto second = fleet.holder();
            CPPUNIT_ASSERT(second && *second != first);
            fleet.want("3", "3");
            fleet.run_for(seconds(60));
            CPPUNIT_ASSERT(fleet.time_to_reach(seconds(120)));
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.figures().stale_sent);
        }
    }

    /// A machine that is suspended does not see on its clock that its lease
    /// lapsed; the shell tells of the pause.
    void test_pause_while_the_clock_stood_still()
    {
        engine_fleet fleet(options(false));
        const auto first = settle(fleet);
        fleet.clocks_stop = true;
        fleet.pause(first, seconds(60));
        for (std::size_t agent = 0; agent < 6; ++agent)
            if (agent != first)
                fleet.see_hosts(agent, {(first + 1) % 6, (first + 2) % 6});
        fleet.run_for(seconds(50));
        fleet.want("2", "2");
        // The first holder wakes to a change that it would act on.
        for (int step = 0; step < 300; ++step) {
            fleet.run_for(milliseconds(100));
            fleet.holder();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.figures().stale_sent);
        CPPUNIT_ASSERT(fleet.time_to_reach(seconds(60)));
    }

    /// An order that left the last check behind when its sender stood still
    /// arrives late, whatever the sender does.
    order_figures late_order(bool checks)
    {
        auto chosen = options(checks);
        engine_fleet fleet(chosen);
        const auto first = settle(fleet);
        fleet.freeze_after_check = true;
        fleet.want("2", "2");
        const auto arrived = fleet.sent.size();
        for (int step = 0; step < 10'000 && fleet.sent.size() == arrived;
             ++step) {
            const auto before = fleet.agent(first).counts().orders_sent;
            fleet.run_for(core::duration(25));
            if (fleet.agent(first).counts().orders_sent != before)
                fleet.pause(first, seconds(40));
        }
        fleet.want("1", "1");
        for (std::size_t agent = 0; agent < 6; ++agent)
            if (agent != first)
                fleet.see_hosts(agent, {(first + 1) % 6, (first + 2) % 6});
        fleet.run_for(seconds(39));
        fleet.run_for(seconds(30));
        CPPUNIT_ASSERT(fleet.serving("1") == 12);
        return fleet.figures();
    }

    void test_order_frozen_after_the_check()
    {
        const auto checked = late_order(true);
        CPPUNIT_ASSERT(checked.stale_sent > 0);
        CPPUNIT_ASSERT_EQUAL(checked.stale_sent, checked.stale_refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, checked.loads);
        const auto ignored = late_order(false);
        CPPUNIT_ASSERT(ignored.stale_applied > 0);
        // Read back within 5 s, ordered back, and 5 s to load.
        CPPUNIT_ASSERT(ignored.longest_wrong < seconds(14));
    }

    void test_two_agents_think_that_they_own_the_pool()
    {
        engine_fleet fleet(options());
        settle(fleet);
        for (std::size_t agent = 0; agent < 6; ++agent)
            fleet.see_hosts(agent, {agent});
        fleet.want("2", "2");
        for (int step = 0; step < 600; ++step) {
            fleet.run_for(milliseconds(100));
            fleet.holder();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, fleet.serving("2"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.figures().stale_sent);
    }

    void test_lost_orders_and_answers()
    {
        engine_fleet fleet(options());
        settle(fleet);
        fleet.lose_orders = 3;
        fleet.want("2", "2");
        fleet.run_for(seconds(10));
        fleet.lose_answers = 3;
        CPPUNIT_ASSERT(fleet.time_to_reach(seconds(180)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, fleet.figures().loads);
    }

    void test_lost_append_answers()
    {
        engine_fleet fleet(options());
        fleet.lose_appends = 2;
        settle(fleet);
        fleet.lose_appends = 1000;
        fleet.want("2", "2");
        CPPUNIT_ASSERT(fleet.time_to_reach(seconds(120)));
    }

    void test_lease_is_kept_while_answers_are_late()
    {
        auto chosen = options();
        chosen.reconciler.lease_length = seconds(3);
        chosen.reconciler.lease_margin = seconds(1);
        engine_fleet fleet(chosen);
        fleet.answer_delay = milliseconds(300);
        const auto holder = settle(fleet);
        fleet.run_for(seconds(60));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0}, fleet.agent(holder).counts().leases_dropped);
    }

    void test_log_outage_stops_orders_only()
    {
        engine_fleet fleet(options());
        settle(fleet);
        fleet.outage = true;
        fleet.run_for(seconds(20));
        fleet.want("2", "2");
        const auto orders = fleet.sent.size();
        fleet.run_for(seconds(60));
        CPPUNIT_ASSERT_EQUAL(orders, fleet.sent.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{12}, fleet.serving("1"));
        CPPUNIT_ASSERT(!fleet.holder());
        fleet.outage = false;
        CPPUNIT_ASSERT(fleet.time_to_reach(seconds(120)));
    }

    void test_weight_store_rate()
    {
        auto chosen = options();
        chosen.reconciler.weight_store_rate = 0.5;
        chosen.reconciler.weight_store_share = 0.5;
        chosen.reconciler.disrupted_percent = 100;
        engine_fleet fleet(chosen);
        settle(fleet);
        fleet.want("2", "2");
        std::size_t before = 0;
        while (fleet.figures().loads < 12) {
            fleet.run_for(seconds(4));
            CPPUNIT_ASSERT(fleet.figures().loads <= before + 2);
            before = fleet.figures().loads;
        }
        CPPUNIT_ASSERT(fleet.time_to_reach(seconds(20)));
    }

    void test_holder_restarted()
    {
        engine_fleet fleet(options());
        const auto holder = settle(fleet);
        fleet.want("2", "2");
        fleet.run_for(seconds(8));
        fleet.restart(holder);
        CPPUNIT_ASSERT(fleet.time_to_reach(seconds(180)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.figures().stale_sent);
    }

    void test_unknown_newer_number()
    {
        engine_fleet fleet(options());
        const auto holder = settle(fleet);
        fleet.stray_order(
            0, 1'000'000, {order_kind::load, "toponym", "", "0", ""});
        const auto before = fleet.agent(holder).counts().appends;
        fleet.run_for(seconds(60));
        // Refused again and again, but without a storm on the log.
        CPPUNIT_ASSERT(fleet.agent(holder).counts().orders_refused > 0);
        CPPUNIT_ASSERT(fleet.agent(holder).counts().appends < before + 30);
    }

    void random_story(std::uint64_t seed)
    {
        core::random random(seed);
        auto chosen = options(seed % 2 == 0);
        chosen.reconciler.weight_store_rate = 10;
        engine_fleet fleet(chosen);
        settle(fleet);
        int version = 1;
        for (int step = 0; step < 12; ++step) {
            fleet.run_for(milliseconds(random.below(12'000)));
            fleet.holder();
            const auto agent = random.below(6);
            switch (random.below(7)) {
            case 0:
                fleet.pause(agent, milliseconds(random.below(40'000)));
                break;
            case 1:
                fleet.restart(agent);
                break;
            case 2:
                fleet.outage = !fleet.outage;
                break;
            case 3:
                fleet.lose_orders += 2;
                fleet.lose_answers += 2;
                break;
            case 4:
                fleet.lose_appends += 2;
                break;
            case 5:
                fleet.see_hosts(agent, {agent, random.below(6)});
                break;
            default: {
                const auto next = std::to_string(++version);
                fleet.want(next, next);
            }
            }
        }
        fleet.outage = false;
        CPPUNIT_ASSERT_MESSAGE(
            "not reached", fleet.time_to_reach(seconds(300)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, fleet.figures().stale_sent);
    }

    void test_random_faults()
    {
        constexpr std::uint64_t seeds = 60;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            try {
                random_story(seed);
            } catch (const CppUnit::Exception& failure) {
                CPPUNIT_FAIL(
                    "seed " + std::to_string(seed) + ": " + failure.what());
            }
        }
    }

    /// The figures of docs/ORDERS.md, when asked for.
    void test_measure()
    {
        if (std::getenv("GODWIT_MEASURE") == nullptr)
            return;
        std::printf("\nchecks load_s rate reach_s\n");
        for (const bool checks : {true, false})
            for (const int load : {5, 20, 60})
                for (const double rate : {0.2, 1.0, 10.0}) {
                    auto chosen = options(checks);
                    chosen.load_time = seconds(load);
                    chosen.reconciler.repeat_after = seconds(90);
                    chosen.reconciler.weight_store_rate = rate;
                    engine_fleet fleet(chosen);
                    settle(fleet);
                    fleet.want("2", "2");
                    const auto took = fleet.time_to_reach(seconds(3000));
                    std::printf(
                        "%d %d %.1f %.1f\n",
                        checks ? 1 : 0,
                        load,
                        rate,
                        static_cast<double>(took->count()) / 1e6);
                }
        std::printf("checks stale_sent refused applied longest_wrong_s\n");
        for (const bool checks : {true, false}) {
            const auto found = late_order(checks);
            std::printf(
                "%d %zu %zu %zu %.1f\n",
                checks ? 1 : 0,
                found.stale_sent,
                found.stale_refused,
                found.stale_applied,
                static_cast<double>(found.longest_wrong.count()) / 1e6);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reconciler_faults_test);

} // namespace
