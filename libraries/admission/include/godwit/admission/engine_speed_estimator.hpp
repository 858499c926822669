#pragma once

#include <godwit/admission/engine_speeds.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

namespace godwit::admission {

/// Estimates how fast the engines of one service prefill and decode: the median
/// of what this host and its neighbours have recently observed.
class engine_speed_estimator
{
public:
    /// Neighbours whose speeds are kept.
    static constexpr std::size_t max_neighbours = 64;

    /// Records that the first event came `elapsed` after the request was sent.
    /// `unread_tokens` is what the engine had to prefill then, including the
    /// request's own prompt.
    void record_first_event(
        std::uint64_t unread_tokens,
        core::duration elapsed,
        core::time_point now);

    /// Records how long an engine takes for one token of a stream.
    void record_step(double step_ms, core::time_point now);

    /// Replaces the speeds that the neighbour reported before.
    void update_from_neighbour(
        const core::host_name& host,
        const engine_speeds& speeds,
        core::time_point now);

    /// Returns what this host has observed.
    [[nodiscard]] engine_speeds own(core::time_point now) const;

    /// Returns the bounded prefill rate; the usual one if too little is known.
    [[nodiscard]] double prefill_tokens_per_ms(core::time_point now) const;

    /// Returns the bounded time for one token; the usual one if too little is
    /// known.
    [[nodiscard]] double step_ms(core::time_point now) const;

    /// Returns how many tokens a stream writes in the next two seconds.
    [[nodiscard]] std::uint64_t soon_tokens(core::time_point now) const;

private:
    struct observation
    {
        double value = 0;
        core::time_point observed_at;
    };

    struct report
    {
        engine_speeds speeds;
        core::time_point received_at;
    };

    static void
    add(std::deque<observation>& to, double value, core::time_point now);

    [[nodiscard]] double combined(
        const observed_median& own,
        observed_median engine_speeds::*kind,
        core::duration window,
        core::time_point now) const;

    std::deque<observation> prefills_;
    std::deque<observation> steps_;
    std::map<core::host_name, report> neighbours_;
};

} // namespace godwit::admission
