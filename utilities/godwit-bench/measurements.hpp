#pragma once

#include "gap_histogram.hpp"
#include "simulated_request.hpp"
#include "workload.hpp"

#include <array>
#include <string_view>
#include <vector>

namespace godwit::bench {

/// What a run measured, over the generations that arrived after warm-up.
struct measurements
{
    double stall_p50_s = 0.0;
    double stall_p99_s = 0.0;
    double stall_max_s = 0.0;
    /// As `stall_p99_s`, with each refused request counted as a wait of the
    /// caller's whole patience, so that refusing cannot improve it.
    double stall_p99_refused_s = 0.0;
    double preemptions_per_1000 = 0.0;
    /// Of one generation.
    double most_preemptions = 0.0;
    double gap_p95_ms = 0.0;
    double gap_p99_ms = 0.0;
    double long_token_share = 0.0;
    double long_offered_share = 0.0;
    double long_worst_wait_s = 0.0;
    double long_completed = 0.0;
    double short_p99_s = 0.0;
    double short_completed = 0.0;
    double refused = 0.0;
    double left = 0.0;
    double lost = 0.0;
    double completed_per_s = 0.0;
    double goodput_per_s = 0.0;
    double tokens_per_s = 0.0;
    double small_organisations_wait_s = 0.0;
    double calls_p99_s = 0.0;
    double calls_completed = 0.0;
};

/// A measure's name and place.
struct measure
{
    std::string_view name;
    double measurements::*value;
};

/// All measures, in the order of reports.
extern const std::array<measure, 23> all_measures;

/// Sums up a finished run.
[[nodiscard]] measurements measure_run(
    const workload& workload,
    const std::vector<simulated_request>& requests,
    const gap_histogram& gaps);

} // namespace godwit::bench
