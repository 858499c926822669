#pragma once

#include <godwit/admission/service_queue.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace godwit::admission {

/// A place in the queue of a service.
struct queue_position
{
    int timely_order = 0; ///< Where the stream is, or was, while timely.
    int order = 0;
    core::duration waited{}; ///< In this order, so far.
    /// Work per second that will arrive and go first.
    double overtaking = 0;
    /// Announced retries that will arrive and go first.
    work_amount retries_ahead;

    friend bool
    operator==(const queue_position&, const queue_position&) = default;
};

/// When streams of one service start in one cell, from its recent starts.
class start_estimate
{
public:
    /// Fewer starts in two seconds say too little about the rate: its relative
    /// error would be more than a third.
    static constexpr std::uint64_t min_starts = 8;
    /// Bound of predictions.
    static constexpr core::duration max_wait = std::chrono::seconds(60);

    /// Returns nothing if there are too few observations.
    [[nodiscard]] static std::optional<start_estimate>
    create(service_queue cell);

    /// Returns the time until a stream at `position` starts.
    [[nodiscard]] core::duration wait(const queue_position& position) const;

    /// Whether more work arrives than starts.
    [[nodiscard]] bool is_overloaded() const;

    /// Returns the work per second that arrives at the rank of `timely_order`
    /// and below it, in time.
    [[nodiscard]] double arrivals_from(int timely_order) const;

    /// Returns the work that starts per second: tokens, or requests if no
    /// tokens are known.
    [[nodiscard]] double rate() const noexcept { return rate_; }

    /// Returns the time in which so many streams start.
    [[nodiscard]] core::duration time_for(double streams) const;

private:
    start_estimate(service_queue cell, const work_amount& started);

    [[nodiscard]] double amount(const work_amount& work) const;
    [[nodiscard]] double seconds_of_lower_ranks(int timely_order) const;
    [[nodiscard]] double work_ahead(const queue_position& position) const;
    [[nodiscard]] double rate_left_for(const queue_position& position) const;

    service_queue cell_;
    work_amount started_;
    double rate_; ///< Amount that starts per second.
};

} // namespace godwit::admission
