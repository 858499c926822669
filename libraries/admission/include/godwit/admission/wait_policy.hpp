#pragma once

#include <godwit/admission/engine_speeds.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>

namespace godwit::admission {

/// The properties of a request that determine how long it waits for capacity.
struct wait_parameters
{
    core::time_point arrival_time;
    core::time_point deadline;  ///< When its caller disconnects.
    core::duration objective{}; ///< Target time until its first event.
    int priority = 0;           ///< 0 is the most urgent.
    /// The prefill rate of the service's busy engines.
    double prefill_tokens_per_ms = engine_speeds::usual_prefill_tokens_per_ms;

    friend bool
    operator==(const wait_parameters&, const wait_parameters&) = default;
};

/// How far a request has got in waiting for capacity.
enum class wait_stage
{
    timely, ///< It can still start in time.
    late,   ///< It will start late, but its caller still waits for it.
    over,   ///< It is rejected with a time to retry after.
};

/// Returns the name of `stage` in logs.
[[nodiscard]] const char* to_string(wait_stage stage) noexcept;

/// How a request waits for capacity while the engines are overloaded: its
/// order in the queue, how often it tries to get a server, and when it is
/// rejected.
///
/// The policy is meant for overload bursts of a few seconds. Requests that can
/// still start in time go first, since each late request that is served before
/// them makes another request late. Late requests get the remaining capacity: a
/// caller who waits minutes for a text prefers a late text to none. A request
/// that would end only after its caller has disconnected is rejected while
/// there is time to retry.
class wait_policy
{
public:
    [[nodiscard]] static wait_policy create(const wait_parameters& parameters);

    [[nodiscard]] wait_stage stage(core::time_point now) const;

    /// When the stage ends, unless the request gets a server before.
    [[nodiscard]] core::time_point stage_end(wait_stage stage) const;

    /// Returns the request's rank in the queue: lower ranks are served first.
    [[nodiscard]] int rank(wait_stage stage) const;

    /// The earliest time of the next attempt after one that failed at `now`.
    [[nodiscard]] core::time_point
    next_attempt(wait_stage stage, core::time_point now) const;

    /// How many prompt tokens an engine may have to prefill, including the
    /// request's own, for its first event to be in time.
    [[nodiscard]] std::uint64_t max_unread_tokens(wait_stage stage) const;

    /// How long the caller of a rejected request should wait before a retry.
    [[nodiscard]] core::duration retry_after(core::time_point now) const;

    friend bool operator==(const wait_policy&, const wait_policy&) = default;

private:
    explicit wait_policy(const wait_parameters& parameters)
        : parameters_(parameters)
    {}

    wait_parameters parameters_;
};

} // namespace godwit::admission
