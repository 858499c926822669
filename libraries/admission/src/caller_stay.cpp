#include <godwit/admission/caller_stay.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::admission {

namespace {

// Callers abandon a stream after a gap of the longest of these, also before the
// first event.
constexpr core::duration min_gap = std::chrono::seconds(2);
constexpr int max_gap_objectives = 8;
constexpr int max_start_objectives = 4;
// A busy engine alternates between prefill, of 14 tokens per millisecond, and
// decoding steps of 7 ms, which takes each twice as long as on its own.
constexpr double prefill_tokens_per_ms = 7;
constexpr double ms_per_output_token = 14;

core::duration milliseconds(double count)
{
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double, std::milli>(count));
}

} // namespace

core::time_point latest_start(const stay_parameters& parameters)
{
    core::duration prefill{};
    core::duration output{};
    if (parameters.size) {
        prefill = milliseconds(
            static_cast<double>(parameters.size->work().unread_tokens) /
            prefill_tokens_per_ms);
        output = milliseconds(
            static_cast<double>(parameters.size->expected_output_tokens()) *
            ms_per_output_token);
    }
    const core::duration stay = std::max(
        {min_gap,
         parameters.objective * max_start_objectives,
         parameters.gap_objective * max_gap_objectives});
    const core::time_point latest =
        std::min(parameters.arrival_time + stay, parameters.deadline - output) -
        prefill;
    return std::max(latest, parameters.arrival_time);
}

} // namespace godwit::admission
