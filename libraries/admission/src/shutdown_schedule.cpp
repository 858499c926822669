#include <godwit/admission/shutdown_schedule.hpp>

#include <godwit/admission/engine_speeds.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::admission {

namespace {

// A load balancer probes once a second and removes a host after two failures;
// until then new connections arrive.
constexpr core::duration accept_time = std::chrono::milliseconds(2600);
// The part of the grace period that is left for closing sockets and ending.
constexpr core::duration exit_margin = std::chrono::milliseconds(350);
// Enough to write the responses of all requests, on a host with a part of a
// core.
constexpr core::duration response_margin = std::chrono::milliseconds(250);
// A run is begun only if there is time for it at half of the usual speed: one
// that is cut costs its caller the whole response, a refusal one more request.
constexpr int speed_margin = 2;

core::duration expected_duration(const planned_run& run)
{
    const std::chrono::duration<double, std::milli> writing(
        static_cast<double>(run.output_tokens.value_or(0)) *
        engine_speeds::usual_step_ms);
    return run.objective + std::chrono::duration_cast<core::duration>(writing);
}

} // namespace

shutdown_schedule
shutdown_schedule::create(core::time_point begun_at, core::duration grace)
{
    const core::time_point end =
        begun_at + std::max(grace - exit_margin, core::duration::zero());
    return {
        std::min(begun_at + accept_time, end),
        std::max(begun_at, end - response_margin),
        end};
}

// A stream that is cut gets no other response, and of one whose length is
// unknown nothing says that it ends in time. It begins only while connections
// are accepted; after that, callers reach hosts that go on.
core::time_point
shutdown_schedule::latest_begin(const planned_run& run) const noexcept
{
    const core::time_point latest =
        response_end_ - expected_duration(run) * speed_margin;
    if (run.is_stream && !run.output_tokens)
        return std::min(latest, accept_end_);
    return latest;
}

} // namespace godwit::admission
