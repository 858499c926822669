#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace godwit::admission {

/// A run that a server may begin, as far as its length is known.
struct planned_run
{
    core::duration objective{}; ///< Target time until its first byte.
    /// Nothing if it is not known, or does not matter for the time it takes.
    std::optional<std::uint64_t> output_tokens{};
    /// Whether its response is a stream, after whose first byte an error can no
    /// longer be sent.
    bool is_stream = false;

    friend bool operator==(const planned_run&, const planned_run&) = default;
};

/// The course of a host's shutdown: until when it accepts connections, which
/// runs it still begins, when it answers whatever is unanswered, and when it
/// ends.
class shutdown_schedule
{
public:
    /// `grace` is the time after which the process is killed.
    [[nodiscard]] static shutdown_schedule
    create(core::time_point begun_at, core::duration grace);

    /// When new connections are no longer accepted.
    [[nodiscard]] core::time_point accept_end() const noexcept
    {
        return accept_end_;
    }

    /// When each request without a response gets one.
    [[nodiscard]] core::time_point response_end() const noexcept
    {
        return response_end_;
    }

    /// When the process ends.
    [[nodiscard]] core::time_point end() const noexcept { return end_; }

    /// Returns the last moment at which the run may begin.
    [[nodiscard]] core::time_point
    latest_begin(const planned_run& run) const noexcept;

    /// Returns whether the run may begin now. If not, its request is better off
    /// at another host, and is refused.
    [[nodiscard]] bool
    may_begin(const planned_run& run, core::time_point now) const noexcept
    {
        return now <= latest_begin(run);
    }

    friend bool
    operator==(const shutdown_schedule&, const shutdown_schedule&) = default;

private:
    shutdown_schedule(
        core::time_point accept_end,
        core::time_point response_end,
        core::time_point end) noexcept
        : accept_end_(accept_end), response_end_(response_end), end_(end)
    {}

    core::time_point accept_end_;
    core::time_point response_end_;
    core::time_point end_;
};

/// How long the caller of a request that a stopping host refuses should wait
/// before it sends the request again, which reaches another host.
inline constexpr core::duration shutdown_retry_after =
    std::chrono::milliseconds(100);

} // namespace godwit::admission
