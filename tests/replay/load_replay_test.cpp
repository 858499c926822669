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

// A long generation: 3,000 prompt tokens, 900 output tokens.
generation_request long_request(std::size_t host, int arrives_ms)
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

std::size_t count_late(
    const std::vector<generation_request>& requests,
    const std::vector<generation_outcome>& outcomes)
{
    std::size_t late = 0;
    for (std::size_t each = 0; each < requests.size(); ++each) {
        const bool is_in_time =
            outcomes[each].first_event &&
            *outcomes[each].first_event - requests[each].arrival_time <=
                objective;
        late += is_in_time ? 0 : 1;
    }
    return late;
}

class load_replay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_replay_test);
    CPPUNIT_TEST(test_light_load_is_served_in_time);
    CPPUNIT_TEST(test_a_replay_is_deterministic);
    CPPUNIT_TEST(test_hosts_do_not_overload_a_joining_engine);
    CPPUNIT_TEST(test_streams_avoid_engines_that_become_slow);
    CPPUNIT_TEST(test_recovered_engines_are_used_again);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<generation_request> steady_load(double per_second)
    {
        std::vector<generation_request> requests;
        core::random random(7);
        for (double at = 0; at < 20000;
             at += 2000.0 * random.unit() / per_second)
            requests.push_back(
                long_request(random.below(9), static_cast<int>(at)));
        return requests;
    }

    void test_light_load_is_served_in_time()
    {
        const auto requests = steady_load(5.0);
        const auto outcomes =
            replay_fleet(nine_hosts(14), requests, at_ms(45000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, count_late(requests, outcomes));
        for (const generation_outcome& outcome : outcomes)
            CPPUNIT_ASSERT(outcome.ended && outcome.preemptions == 0);
    }

    void test_a_replay_is_deterministic()
    {
        const auto requests = steady_load(12.0);
        CPPUNIT_ASSERT(
            replay_fleet(nine_hosts(9), requests, at_ms(20000)) ==
            replay_fleet(nine_hosts(9), requests, at_ms(20000)));
    }

    // All engines are full and every host has waiting requests when an empty
    // engine joins, which all hosts learn at the same time.
    void test_hosts_do_not_overload_a_joining_engine()
    {
        fleet_config fleet = nine_hosts(3);
        fleet.engines.push_back({0, at_ms(3000)});
        std::vector<generation_request> requests;
        requests.reserve(27 + 18);
        for (int each = 0; each < 27; ++each)
            requests.push_back(
                long_request(static_cast<std::size_t>(each % 9), 50 * each));
        const std::size_t filling = requests.size();
        for (int each = 0; each < 18; ++each)
            requests.push_back(long_request(
                static_cast<std::size_t>(each % 9), 2700 + 10 * each));
        const auto outcomes = replay_fleet(fleet, requests, at_ms(6000));
        std::vector<core::duration> prefill_times;
        for (std::size_t each = filling; each < requests.size(); ++each) {
            if (!outcomes[each].placed || !outcomes[each].first_event)
                continue;
            prefill_times.push_back(
                *outcomes[each].first_event - *outcomes[each].placed);
        }
        CPPUNIT_ASSERT(prefill_times.size() >= 3);
        CPPUNIT_ASSERT(
            *std::max_element(prefill_times.begin(), prefill_times.end()) <=
            objective);
    }

    // A quarter of a fleet of 288 hosts and 128 engines, with a typical load of
    // long and short generations. A fifth of the engines take 3.5 times as long
    // for each step between 6 s and 14 s.
    static constexpr std::size_t many_hosts = 72;
    static constexpr std::size_t many_engines = 32;
    static constexpr core::duration max_allowed_gap =
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

    static generation_request
    mixed_request(core::random& random, int arrives_ms)
    {
        constexpr double short_share = 0.41;
        generation_request request =
            long_request(random.below(many_hosts), arrives_ms);
        request.prompt_tokens =
            static_cast<std::uint32_t>(2000 + random.below(2000));
        request.output_tokens =
            static_cast<std::uint32_t>(120 + random.below(700));
        if (random.unit() < short_share)
            request.output_tokens = 8;
        request.expected_output_tokens = request.output_tokens;
        return request;
    }

    static std::vector<generation_request> mixed_load(std::uint64_t seed)
    {
        constexpr double mean_pause_ms = 24.0;
        std::vector<generation_request> requests;
        core::random random(seed);
        for (double at = 0; at < 20000; at += 2 * mean_pause_ms * random.unit())
            requests.push_back(mixed_request(random, static_cast<int>(at)));
        return requests;
    }

    static bool is_placed_between(
        const generation_outcome& outcome, int from_ms, int until_ms)
    {
        return outcome.placed && *outcome.placed >= at_ms(from_ms) &&
               *outcome.placed < at_ms(until_ms);
    }

    static bool is_at_slow_engine(const generation_outcome& outcome)
    {
        const auto slow = slow_engines();
        return std::find(slow.begin(), slow.end(), *outcome.engine) !=
               slow.end();
    }

    /// Counts of generations that are placed in a period, over several loads.
    struct placed_count
    {
        std::size_t all = 0;
        std::size_t at_slow_engines = 0;
        std::size_t with_long_gap = 0;
    };

    static placed_count count_placed_between(int from_ms, int until_ms)
    {
        placed_count count;
        for (const std::uint64_t seed : {5, 6, 7}) {
            const auto outcomes =
                replay_fleet(large_fleet(), mixed_load(seed), at_ms(40000));
            for (const generation_outcome& outcome : outcomes) {
                if (!is_placed_between(outcome, from_ms, until_ms))
                    continue;
                ++count.all;
                count.at_slow_engines += is_at_slow_engine(outcome) ? 1 : 0;
                count.with_long_gap +=
                    outcome.max_gap > max_allowed_gap ? 1 : 0;
            }
        }
        return count;
    }

    // Hosts detect slow engines half a second after the first late events. An
    // engine that is tried again while it is still slow may delay one prompt.
    void test_streams_avoid_engines_that_become_slow()
    {
        const placed_count placed = count_placed_between(6600, 14000);
        CPPUNIT_ASSERT(placed.all > 900);
        CPPUNIT_ASSERT(placed.at_slow_engines * 50 < placed.all);
        CPPUNIT_ASSERT(placed.with_long_gap * 100 < placed.all);
    }

    // Recovered engines are the least loaded ones by then.
    void test_recovered_engines_are_used_again()
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
