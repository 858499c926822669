#include <godwit/admission/wait_policy.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::admission {

namespace {

// The share of the latency objective during which a waiting request can still
// start in time. About a third of the objective is needed for prefill.
constexpr double timely_wait_share = 0.65;
// Longest wait of a late request before it is rejected, in latency objectives:
// callers give up a stream that has not started after four of them. The share
// of the time until the deadline leaves time for the response to complete.
constexpr double max_wait_objectives = 3.2;
constexpr double max_wait_share = 0.55;
// The share of the latency objective that an engine may need to prefill its
// prompts. All prompts at an engine share its prefill rate, so that each added
// prompt delays the prompts that were started before.
constexpr double prefill_share = 0.6;
// Capacity that becomes free goes to requests of any host that can start in
// time: these try to get it at once, late requests only at this interval.
constexpr core::duration late_attempt_interval = std::chrono::milliseconds(400);
// Offset that is added to the priority of late requests, so that they come
// after all timely ones in the queue.
constexpr int late_rank_offset = 1000;
// Shortest time to retry after, for a stream that is rejected at once.
constexpr core::duration min_retry_after = std::chrono::milliseconds(700);

core::duration fraction_of(core::duration time, double share)
{
    return std::chrono::duration_cast<core::duration>(time * share);
}

} // namespace

const char* to_string(wait_stage stage) noexcept
{
    switch (stage) {
    case wait_stage::timely:
        return "timely";
    case wait_stage::late:
        return "late";
    case wait_stage::over:
        return "over";
    }
    return "over";
}

wait_policy wait_policy::create(const wait_parameters& parameters)
{
    return wait_policy(parameters);
}

wait_stage wait_policy::stage(core::time_point now) const
{
    if (now < stage_end(wait_stage::timely))
        return wait_stage::timely;
    if (now < stage_end(wait_stage::late))
        return wait_stage::late;
    return wait_stage::over;
}

core::time_point wait_policy::stage_end(wait_stage stage) const
{
    const core::time_point timely_end =
        parameters_.arrival_time +
        fraction_of(parameters_.objective, timely_wait_share);
    if (stage == wait_stage::timely)
        return timely_end;
    const core::duration max_wait = std::min(
        fraction_of(parameters_.objective, max_wait_objectives),
        fraction_of(
            parameters_.deadline - parameters_.arrival_time, max_wait_share));
    return parameters_.arrival_time + max_wait;
}

int wait_policy::rank(wait_stage stage) const
{
    return stage == wait_stage::timely
               ? parameters_.priority
               : parameters_.priority + late_rank_offset;
}

core::time_point
wait_policy::next_attempt(wait_stage stage, core::time_point now) const
{
    return stage == wait_stage::timely ? now : now + late_attempt_interval;
}

std::uint64_t wait_policy::max_unread_tokens(wait_stage stage) const
{
    const auto objective_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            parameters_.objective);
    const double share = stage == wait_stage::timely ? prefill_share : 1.0;
    return static_cast<std::uint64_t>(
        share * parameters_.prefill_tokens_per_ms *
        static_cast<double>(objective_ms.count()));
}

// The overload has lasted at least as long as the request waited, and may last
// as long again.
core::duration wait_policy::retry_after(core::time_point now) const
{
    return std::max(min_retry_after, now - parameters_.arrival_time);
}

} // namespace godwit::admission
