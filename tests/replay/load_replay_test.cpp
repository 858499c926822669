#include <godwit/replay/fleet_replay.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <godwit/core/random.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::replay;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

constexpr core::duration objective = std::chrono::milliseconds(1800);

// Long text: 3,000 tokens in, some 900 out.
generation_request long_order(std::size_t host, int arrives_ms)
{
    return {
        host,
        at_ms(arrives_ms),
        objective,
        std::chrono::seconds(39),
        0,
        3000,
        900,
        800};
}

// Nine hosts and their engines in three zones.
fleet_config nine_hosts(std::size_t engines)
{
    fleet_config fleet;
    fleet.host_zones = {0, 0, 0, 0, 1, 1, 1, 2, 2};
    for (std::size_t engine = 0; engine < engines; ++engine)
        fleet.engines.push_back({engine % 3, at_ms(0)});
    return fleet;
}

std::size_t begun_late(
    const std::vector<generation_request>& orders,
    const std::vector<generation_outcome>& fates)
{
    std::size_t late = 0;
    for (std::size_t each = 0; each < orders.size(); ++each) {
        const bool is_in_time =
            fates[each].first_event &&
            *fates[each].first_event - orders[each].arrives <= objective;
        late += is_in_time ? 0 : 1;
    }
    return late;
}

class load_replay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_replay_test);
    CPPUNIT_TEST(test_a_calm_load_is_served_in_time);
    CPPUNIT_TEST(test_a_replay_repeats);
    CPPUNIT_TEST(test_hosts_do_not_rush_onto_an_engine_that_joins);
    CPPUNIT_TEST(test_streams_keep_off_engines_that_turn_slow);
    CPPUNIT_TEST(test_engines_that_are_quick_again_are_used_again);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<generation_request> steady_load(double a_second)
    {
        std::vector<generation_request> orders;
        core::random random(7);
        for (double at = 0; at < 20000; at += 2000.0 * random.unit() / a_second)
            orders.push_back(long_order(random.below(9), static_cast<int>(at)));
        return orders;
    }

    void test_a_calm_load_is_served_in_time()
    {
        const auto orders = steady_load(5.0);
        const auto fates = replay_fleet(nine_hosts(14), orders, at_ms(45000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, begun_late(orders, fates));
        for (const generation_outcome& fate : fates)
            CPPUNIT_ASSERT(fate.ended && fate.preemptions == 0);
    }

    void test_a_replay_repeats()
    {
        const auto orders = steady_load(12.0);
        CPPUNIT_ASSERT(
            replay_fleet(nine_hosts(9), orders, at_ms(20000)) ==
            replay_fleet(nine_hosts(9), orders, at_ms(20000)));
    }

    // Engines are full and every host has requests that wait; then an empty
    // one joins, of which all hosts hear at the same moment.
    void test_hosts_do_not_rush_onto_an_engine_that_joins()
    {
        fleet_config fleet = nine_hosts(3);
        fleet.engines.push_back({0, at_ms(3000)});
        std::vector<generation_request> orders;
        orders.reserve(27 + 18);
        for (int each = 0; each < 27; ++each)
            orders.push_back(
                long_order(static_cast<std::size_t>(each % 9), 50 * each));
        const std::size_t filling = orders.size();
        for (int each = 0; each < 18; ++each)
            orders.push_back(long_order(
                static_cast<std::size_t>(each % 9), 2700 + 10 * each));
        const auto fates = replay_fleet(fleet, orders, at_ms(6000));
        std::vector<core::duration> reading;
        for (std::size_t each = filling; each < orders.size(); ++each) {
            if (!fates[each].placed || !fates[each].first_event)
                continue;
            reading.push_back(*fates[each].first_event - *fates[each].placed);
        }
        CPPUNIT_ASSERT(reading.size() >= 3);
        CPPUNIT_ASSERT(
            *std::max_element(reading.begin(), reading.end()) <= objective);
    }

    // A quarter of a fleet of 288 hosts and 128 engines, under its usual load
    // of long and short generations. A fifth of the engines take 3.5 times as
    // long for each step between 6 s and 14 s.
    static constexpr std::size_t many_hosts = 72;
    static constexpr std::size_t many_engines = 32;
    static constexpr core::duration longest_gap =
        std::chrono::milliseconds(190);

    static std::vector<std::size_t> slow_engines()
    {
        return {2, 5, 9, 14, 19, 24, 28};
    }

    static fleet_config large_fleet()
    {
        fleet_config fleet;
        for (std::size_t host = 0; host < many_hosts; ++host)
            fleet.host_zones.push_back(host % 4);
        for (std::size_t engine = 0; engine < many_engines; ++engine)
            fleet.engines.push_back({engine % 4, at_ms(0)});
        for (const std::size_t engine : slow_engines())
            fleet.slowdowns.push_back({engine, at_ms(6000), at_ms(14000), 3.5});
        return fleet;
    }

    static generation_request mixed_order(core::random& random, int arrives_ms)
    {
        constexpr double short_share = 0.41;
        generation_request order =
            long_order(random.below(many_hosts), arrives_ms);
        order.prompt_tokens =
            static_cast<std::uint32_t>(2000 + random.below(2000));
        order.output_tokens =
            static_cast<std::uint32_t>(120 + random.below(700));
        if (random.unit() < short_share)
            order.output_tokens = 8;
        order.expected_tokens = order.output_tokens;
        return order;
    }

    static std::vector<generation_request> mixed_load(std::uint64_t seed)
    {
        constexpr double mean_pause_ms = 24.0;
        std::vector<generation_request> orders;
        core::random random(seed);
        for (double at = 0; at < 20000; at += 2 * mean_pause_ms * random.unit())
            orders.push_back(mixed_order(random, static_cast<int>(at)));
        return orders;
    }

    static bool
    is_placed_between(const generation_outcome& fate, int from_ms, int until_ms)
    {
        return fate.placed && *fate.placed >= at_ms(from_ms) &&
               *fate.placed < at_ms(until_ms);
    }

    static bool is_at_slow_engine(const generation_outcome& fate)
    {
        const auto slow = slow_engines();
        return std::find(slow.begin(), slow.end(), *fate.engine) != slow.end();
    }

    /// Of the generations that are placed in a span, over several loads.
    struct placed_count
    {
        std::size_t all = 0;
        std::size_t at_slow_engines = 0;
        std::size_t with_late_pause = 0;
    };

    static placed_count count_placed_between(int from_ms, int until_ms)
    {
        placed_count count;
        for (const std::uint64_t seed : {5, 6, 7}) {
            const auto fates =
                replay_fleet(large_fleet(), mixed_load(seed), at_ms(40000));
            for (const generation_outcome& fate : fates) {
                if (!is_placed_between(fate, from_ms, until_ms))
                    continue;
                ++count.all;
                count.at_slow_engines += is_at_slow_engine(fate) ? 1 : 0;
                count.with_late_pause +=
                    fate.longest_pause > longest_gap ? 1 : 0;
            }
        }
        return count;
    }

    // Half a second after the first late events hosts know. An engine that is
    // tried again while it is still slow may hold up one prompt.
    void test_streams_keep_off_engines_that_turn_slow()
    {
        const placed_count placed = count_placed_between(6600, 14000);
        CPPUNIT_ASSERT(placed.all > 900);
        CPPUNIT_ASSERT(placed.at_slow_engines * 50 < placed.all);
        CPPUNIT_ASSERT(placed.with_late_pause * 100 < placed.all);
    }

    // They are the emptiest ones by then.
    void test_engines_that_are_quick_again_are_used_again()
    {
        const placed_count placed = count_placed_between(16000, 19000);
        CPPUNIT_ASSERT(placed.all > 300);
        CPPUNIT_ASSERT(
            placed.at_slow_engines * many_engines >=
            placed.all * slow_engines().size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_replay_test);

} // namespace
