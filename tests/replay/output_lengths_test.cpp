// Guards against planning memory by observed output lengths that preempts more
// runs, or uses less memory, than planning by constants.

#include <godwit/replay/fleet_replay.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <godwit/core/random.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <numbers>
#include <string>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::replay;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

constexpr std::size_t hosts = 8;
constexpr std::size_t engines = 6;
constexpr int load_ms = 40'000;
constexpr std::uint32_t tokens_per_event = 4;

/// A kind of requests: lengths are log-normal, in events.
struct request_kind
{
    std::size_t route;
    double per_second; ///< At each engine, on a day without overload.
    int objective_ms;
    int deadline_ms;
    int priority;
    std::uint32_t prompt_tokens;
    double mean_events;
    double spread;
    double max_events;
};

constexpr request_kind long_streams{
    0, 24.7 / 60, 4000, 39'000, 2, 3079, 188, 1.09, 445};
constexpr request_kind short_streams{
    1, 48.3 / 60, 1500, 6000, 0, 2550, 2.2, 1.16, 7.7};

class output_lengths_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(output_lengths_test);
    CPPUNIT_TEST(test_fewer_runs_are_preempted_without_estimates);
    CPPUNIT_TEST(test_fewer_runs_are_preempted_with_poor_estimates);
    CPPUNIT_TEST_SUITE_END();

    static double normal(core::random& random)
    {
        const double radius = std::sqrt(-2 * std::log1p(-random.unit()));
        return radius * std::cos(2 * std::numbers::pi * random.unit());
    }

    static std::uint32_t events_of(const request_kind& kind, core::random& from)
    {
        const double middle =
            std::log(kind.mean_events) - kind.spread * kind.spread / 2;
        const double length = std::exp(middle + kind.spread * normal(from));
        return static_cast<std::uint32_t>(std::clamp(
            std::floor(length + 0.5), 1.0, std::floor(kind.max_events)));
    }

    static std::uint32_t max_tokens_of(const request_kind& kind)
    {
        return tokens_per_event * static_cast<std::uint32_t>(kind.max_events);
    }

    static void add_requests(
        std::vector<generation_request>& requests,
        const request_kind& kind,
        double overload,
        double estimate_spread,
        core::random& random)
    {
        const double pause_ms = 1000 / (overload * kind.per_second * engines);
        for (double at = 0; at < load_ms;
             at -= pause_ms * std::log1p(-random.unit())) {
            generation_request request;
            request.host = random.below(hosts);
            request.arrival_time = at_ms(static_cast<int>(at));
            request.latency_objective =
                std::chrono::milliseconds(kind.objective_ms);
            request.caller_timeout =
                std::chrono::milliseconds(kind.deadline_ms);
            request.priority = kind.priority;
            request.prompt_tokens = kind.prompt_tokens;
            request.output_tokens = tokens_per_event * events_of(kind, random);
            request.max_output_tokens = max_tokens_of(kind);
            request.route = kind.route;
            if (estimate_spread > 0)
                request.expected_output_tokens =
                    static_cast<std::uint32_t>(
                        request.output_tokens *
                        std::exp(estimate_spread * normal(random))) +
                    1;
            requests.push_back(request);
        }
    }

    static std::vector<generation_request>
    load(double overload, double estimate_spread, std::uint64_t seed)
    {
        std::vector<generation_request> requests;
        core::random random(seed);
        for (const request_kind& kind : {long_streams, short_streams})
            add_requests(requests, kind, overload, estimate_spread, random);
        std::sort(
            requests.begin(),
            requests.end(),
            [](const auto& left, const auto& right) {
                return left.arrival_time < right.arrival_time;
            });
        return requests;
    }

    static fleet_config fleet(bool learns_lengths)
    {
        fleet_config config;
        for (std::size_t host = 0; host < hosts; ++host)
            config.host_zones.push_back(host % 3);
        for (std::size_t engine = 0; engine < engines; ++engine)
            config.engines.push_back({engine % 3, at_ms(0)});
        config.engine.memory_tokens = 26'900;
        config.engine.slots = 24;
        config.learns_lengths = learns_lengths;
        return config;
    }

    struct totals
    {
        std::size_t preempted = 0;
        std::size_t ended = 0;
        double used_tokens = 0;

        totals& operator+=(const totals& more)
        {
            preempted += more.preempted;
            ended += more.ended;
            used_tokens += more.used_tokens;
            return *this;
        }
    };

    static totals
    run(bool learns_lengths, double overload, double estimate_spread)
    {
        totals sums;
        for (const std::uint64_t seed :
             {101, 102, 103, 104, 105, 106, 107, 108}) {
            const auto requests = load(overload, estimate_spread, seed);
            const replay_report report = replay_fleet_with_usage(
                fleet(learns_lengths), requests, at_ms(load_ms));
            sums.used_tokens += report.mean_used_tokens;
            for (const generation_outcome& outcome : report.outcomes) {
                sums.preempted += outcome.preemptions > 0 ? 1 : 0;
                sums.ended += outcome.ended ? 1 : 0;
            }
        }
        return sums;
    }

    // Loads at which memory is short, up to three times that of a day without
    // overload.
    static void check_gain(double estimate_spread)
    {
        totals constants;
        totals learned;
        for (const double overload : {1.6, 2.2, 3.0}) {
            constants += run(false, overload, estimate_spread);
            learned += run(true, overload, estimate_spread);
        }
        const std::string figures =
            "preempted " + std::to_string(constants.preempted) + " -> " +
            std::to_string(learned.preempted) + ", used tokens " +
            std::to_string(constants.used_tokens) + " -> " +
            std::to_string(learned.used_tokens) + ", ended " +
            std::to_string(constants.ended) + " -> " +
            std::to_string(learned.ended);
        std::cout << ' ' << figures;
        CPPUNIT_ASSERT_MESSAGE(
            figures, learned.preempted < constants.preempted);
        CPPUNIT_ASSERT_MESSAGE(
            figures, learned.used_tokens >= constants.used_tokens);
    }

    void test_fewer_runs_are_preempted_without_estimates() { check_gain(0); }

    void test_fewer_runs_are_preempted_with_poor_estimates() { check_gain(1); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(output_lengths_test);

} // namespace
