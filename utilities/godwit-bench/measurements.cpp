#include "measurements.hpp"

#include <algorithm>
#include <chrono>
#include <cstddef>

namespace godwit::bench {

using namespace std::chrono_literals;

const std::array<measure, 23> all_measures = {{
    {"stall_p50_s", &measurements::stall_p50_s},
    {"stall_p99_s", &measurements::stall_p99_s},
    {"stall_max_s", &measurements::stall_max_s},
    {"stall_p99_refused_s", &measurements::stall_p99_refused_s},
    {"preemptions_per_1000", &measurements::preemptions_per_1000},
    {"most_preemptions", &measurements::most_preemptions},
    {"gap_p95_ms", &measurements::gap_p95_ms},
    {"gap_p99_ms", &measurements::gap_p99_ms},
    {"long_token_share", &measurements::long_token_share},
    {"long_offered_share", &measurements::long_offered_share},
    {"long_worst_wait_s", &measurements::long_worst_wait_s},
    {"long_completed", &measurements::long_completed},
    {"short_p99_s", &measurements::short_p99_s},
    {"short_completed", &measurements::short_completed},
    {"refused", &measurements::refused},
    {"left", &measurements::left},
    {"lost", &measurements::lost},
    {"completed_per_s", &measurements::completed_per_s},
    {"goodput_per_s", &measurements::goodput_per_s},
    {"tokens_per_s", &measurements::tokens_per_s},
    {"small_organisations_wait_s", &measurements::small_organisations_wait_s},
    {"calls_p99_s", &measurements::calls_p99_s},
    {"calls_completed", &measurements::calls_completed},
}};

namespace {

constexpr core::duration goodput_first_token = 440ms;
constexpr double goodput_slow_share = 0.05;

double seconds(core::duration value)
{
    return std::chrono::duration<double>(value).count();
}

double quantile(std::vector<double>& values, double at)
{
    if (values.empty())
        return 0.0;
    const auto index = std::min(
        values.size() - 1,
        static_cast<std::size_t>(at * static_cast<double>(values.size())));
    std::nth_element(
        values.begin(),
        values.begin() + static_cast<std::ptrdiff_t>(index),
        values.end());
    return values[index];
}

double share(double part, double whole)
{
    return whole > 0.0 ? part / whole : 0.0;
}

bool is_good(const simulated_request& request)
{
    const core::duration wait = request.first_token_at - request.arrives_at;
    return request.stage == request_stage::completed &&
           wait <= goodput_first_token &&
           request.slow_gaps + request.preemptions <=
               goodput_slow_share * request.tokens;
}

/// How many of a kind there were, and what became of them.
struct tally
{
    double all = 0.0;
    double completed = 0.0;
    double tokens = 0.0;
    double offered_tokens = 0.0;
    std::vector<double> latencies;

    void add(const simulated_request& request)
    {
        all += 1.0;
        tokens += request.tokens;
        offered_tokens += request.length;
        if (request.stage != request_stage::completed)
            return;
        completed += 1.0;
        latencies.push_back(seconds(request.ended_at - request.arrives_at));
    }
};

} // namespace

measurements measure_run(
    const workload& workload,
    const std::vector<simulated_request>& requests,
    const gap_histogram& gaps)
{
    measurements result;
    tally calls;
    tally longs;
    tally shorts;
    std::vector<double> stalls;
    std::vector<double> stalls_refused;
    std::vector<double> small_waits;
    double preemptions = 0.0;
    double good = 0.0;
    for (const simulated_request& request : requests) {
        if (request.arrives_at.time_since_epoch() < workload.warm_up)
            continue;
        const workload_class& kind = workload.classes[request.class_index];
        if (kind.kind == dispatch::request_kind::call) {
            calls.add(request);
            continue;
        }
        (kind.is_long ? longs : shorts).add(request);
        const double stall = seconds(request.longest_silence);
        const bool refused = request.stage == request_stage::refused;
        result.refused += refused ? 1.0 : 0.0;
        result.left += request.stage == request_stage::left ? 1.0 : 0.0;
        result.lost += request.stage == request_stage::lost ? 1.0 : 0.0;
        stalls_refused.push_back(refused ? seconds(kind.patience) : stall);
        if (!refused)
            stalls.push_back(stall);
        if (kind.is_long)
            result.long_worst_wait_s =
                std::max(result.long_worst_wait_s, stall);
        if (request.organisation != 0)
            small_waits.push_back(stalls_refused.back());
        preemptions += request.preemptions;
        result.most_preemptions =
            std::max<double>(result.most_preemptions, request.preemptions);
        good += is_good(request) ? 1.0 : 0.0;
    }
    const double generations = longs.all + shorts.all;
    const double span = seconds(workload.length - workload.warm_up);
    result.stall_p50_s = quantile(stalls, 0.5);
    result.stall_p99_s = quantile(stalls, 0.99);
    result.stall_max_s = quantile(stalls, 1.0);
    result.stall_p99_refused_s = quantile(stalls_refused, 0.99);
    result.preemptions_per_1000 =
        1000.0 * share(preemptions, generations - result.refused);
    result.gap_p95_ms = gaps.quantile(0.95);
    result.gap_p99_ms = gaps.quantile(0.99);
    result.long_token_share = share(longs.tokens, longs.tokens + shorts.tokens);
    result.long_offered_share = share(
        longs.offered_tokens, longs.offered_tokens + shorts.offered_tokens);
    result.long_completed = share(longs.completed, longs.all);
    result.short_completed = share(shorts.completed, shorts.all);
    result.short_p99_s = quantile(shorts.latencies, 0.99);
    result.refused = share(result.refused, generations);
    result.left = share(result.left, generations);
    result.lost = share(result.lost, generations);
    result.completed_per_s = (longs.completed + shorts.completed) / span;
    result.goodput_per_s = good / span;
    result.tokens_per_s = (longs.tokens + shorts.tokens) / span;
    result.small_organisations_wait_s = quantile(small_waits, 0.99);
    result.calls_p99_s = quantile(calls.latencies, 0.99);
    result.calls_completed = share(calls.completed, calls.all);
    return result;
}

} // namespace godwit::bench
