#include "workload.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numbers>
#include <numeric>

namespace godwit::bench {

using namespace std::chrono_literals;

namespace {

// The step time that counts as the engine's intended speed.
constexpr double capacity_step_ms = 50.0;

// Bursts: this often on average, for so long, and so many times the base.
constexpr double burst_every_s = 60.0;
constexpr double burst_length_s = 4.0;
constexpr double burst_factor = 3.0;

constexpr std::uint32_t prefixes_each_organisation = 4;
constexpr double prefix_share_of_prompt = 0.5;

double normal(core::random& random)
{
    const double radius = std::sqrt(-2.0 * std::log(1.0 - random.unit()));
    return radius * std::cos(2.0 * std::numbers::pi * random.unit());
}

double exponential(core::random& random, double mean)
{
    return -mean * std::log(1.0 - random.unit());
}

core::time_point at_seconds(double seconds)
{
    return core::time_point(std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(seconds)));
}

/// Times of arrival at `rate` a second on average, with bursts.
std::vector<double>
arrival_times(core::random& random, double rate, double until)
{
    const double burst_share =
        burst_length_s / (burst_every_s + burst_length_s);
    const double base = rate / (1.0 + burst_share * (burst_factor - 1.0));
    std::vector<double> times;
    bool burst = false;
    double phase_ends = exponential(random, burst_every_s);
    double now = 0.0;
    while (now < until) {
        const double current = burst ? base * burst_factor : base;
        const double next = now + exponential(random, 1.0 / current);
        if (next < phase_ends) {
            now = next;
            times.push_back(now);
            continue;
        }
        now = phase_ends;
        burst = !burst;
        phase_ends =
            now + (burst ? burst_length_s : exponential(random, burst_every_s));
    }
    while (!times.empty() && times.back() >= until)
        times.pop_back();
    return times;
}

} // namespace

std::uint32_t token_distribution::draw(core::random& random) const
{
    double value = 0.0;
    if (random.unit() < tail_share)
        value = tail_from * std::pow(1.0 - random.unit(), -1.0 / tail_exponent);
    else
        value = median * std::exp(sigma * normal(random));
    const double bounded = std::clamp(
        value, static_cast<double>(least), static_cast<double>(most));
    return static_cast<std::uint32_t>(bounded);
}

std::size_t workload::engine_count() const
{
    return std::accumulate(engines.begin(), engines.end(), std::size_t{0});
}

double workload::capacity() const
{
    constexpr int samples = 20000;
    constexpr std::uint64_t sample_seed = 7;
    core::random random(sample_seed);
    double memory_steps = 0.0;
    double steps = 0.0;
    double prompts = 0.0;
    for (const workload_class& kind : classes) {
        if (kind.kind == dispatch::request_kind::call)
            continue;
        for (int sample = 0; sample < samples; ++sample) {
            const double prompt = kind.prompt.draw(random);
            const double tokens = kind.length.draw(random);
            const double part = kind.share / samples;
            memory_steps += part * (prompt * tokens + tokens * tokens / 2.0);
            steps += part * tokens;
            prompts += part * prompt;
        }
    }
    const double by_memory =
        static_cast<double>(engine.memory_tokens) / memory_steps;
    const double fast_batch =
        (capacity_step_ms - engine.step_base_ms) / engine.step_each_ms;
    const double by_speed = fast_batch / steps;
    const double a_step = std::min(by_memory, by_speed);
    const double step_ms = engine.step_base_ms +
                           engine.step_each_ms * a_step * steps +
                           engine.prefill_token_ms * a_step * prompts;
    return a_step / step_ms * 1000.0 * static_cast<double>(engine_count());
}

std::vector<simulated_request>
workload::generate(double load, std::uint64_t seed) const
{
    core::random random(seed * 1000003);
    const double until = std::chrono::duration<double>(length).count();
    std::vector<simulated_request> requests;
    for (std::size_t index = 0; index < classes.size(); ++index) {
        const workload_class& kind = classes[index];
        const bool call = kind.kind == dispatch::request_kind::call;
        const double rate = call ? kind.share : kind.share * load * capacity();
        for (const double time : arrival_times(random, rate, until)) {
            simulated_request request;
            request.arrives_at = at_seconds(time);
            request.class_index = index;
            request.host = random.below(entry_hosts);
            request.organisation = random.unit() < largest_share
                                       ? 0
                                       : 1 + random.below(organisations - 1);
            request.prompt_tokens = kind.prompt.draw(random);
            request.length = kind.length.draw(random);
            request.prefix = static_cast<std::uint32_t>(
                1 +
                (request.organisation * classes.size() + index) *
                    prefixes_each_organisation +
                random.below(prefixes_each_organisation));
            request.prefix_tokens = static_cast<std::uint32_t>(
                prefix_share_of_prompt * request.prompt_tokens);
            request.work = std::chrono::duration_cast<core::duration>(
                std::chrono::duration<double, std::milli>(
                    exponential(random, service_work_ms)));
            requests.push_back(request);
        }
    }
    std::stable_sort(
        requests.begin(),
        requests.end(),
        [](const simulated_request& left, const simulated_request& right) {
            return left.arrives_at < right.arrives_at;
        });
    for (std::size_t index = 0; index < requests.size(); ++index)
        requests[index].index = index;
    return requests;
}

workload krajevnik()
{
    workload result;
    result.name = "krajevnik";
    result.engines = {5, 5, 4};
    result.engine.memory_tokens = 40000;
    result.overcommit = 1.15;
    result.between_zones = 500us;
    result.classes = {
        {.name = "history",
         .share = 0.35,
         .prompt = {.median = 250, .sigma = 0.6, .least = 40, .most = 2000},
         .length =
             {.median = 450,
              .sigma = 0.9,
              .tail_share = 0.06,
              .tail_from = 1200,
              .tail_exponent = 1.3,
              .least = 20,
              .most = 4096},
         .patience = 30s,
         .is_long = true,
         .limits =
             {.name = core::request_class_name("history"),
              .weight = 3.0,
              .memory_floor = 0.0,
              .start_floor = 0.2,
              .longest_wait = 5s,
              .priority = 4}},
        {.name = "check",
         .share = 0.65,
         .prompt = {.median = 90, .sigma = 0.4, .least = 20, .most = 400},
         .length = {.median = 14, .sigma = 0.5, .least = 2, .most = 64},
         .patience = 10s,
         .limits =
             {.name = core::request_class_name("check"),
              .weight = 1.0,
              .memory_floor = 0.06,
              .start_floor = 0.2,
              .longest_wait = std::nullopt,
              .priority = 5}},
        {.name = "lookup",
         .kind = dispatch::request_kind::call,
         .share = 8.0,
         .patience = 5s,
         .limits = {
             .name = core::request_class_name("lookup"),
             .longest_wait = std::nullopt}}};
    return result;
}

workload predavka()
{
    workload result;
    result.name = "predavka";
    result.engines = {3, 3, 3};
    result.engine.memory_tokens = 64000;
    result.overcommit = 0.85;
    result.between_zones = 1500us;
    result.classes = {
        {.name = "report",
         .share = 0.15,
         .prompt = {.median = 2200, .sigma = 0.5, .least = 400, .most = 8000},
         .length =
             {.median = 1100,
              .sigma = 0.7,
              .tail_share = 0.08,
              .tail_from = 2500,
              .tail_exponent = 1.4,
              .least = 100,
              .most = 6000},
         .patience = 120s,
         .is_long = true,
         .limits =
             {.name = core::request_class_name("report"),
              .weight = 3.0,
              .memory_floor = 0.0,
              .start_floor = 0.1,
              .longest_wait = 60s,
              .priority = 4}},
        {.name = "tag",
         .share = 0.85,
         .prompt = {.median = 200, .sigma = 0.4, .least = 40, .most = 800},
         .length = {.median = 25, .sigma = 0.5, .least = 4, .most = 128},
         .patience = 15s,
         .limits =
             {.name = core::request_class_name("tag"),
              .weight = 1.0,
              .memory_floor = 0.06,
              .start_floor = 0.2,
              .longest_wait = std::nullopt,
              .priority = 5}},
        {.name = "confirmation",
         .kind = dispatch::request_kind::call,
         .share = 10.0,
         .patience = 5s,
         .limits = {
             .name = core::request_class_name("confirmation"),
             .longest_wait = std::nullopt}}};
    return result;
}

} // namespace godwit::bench
