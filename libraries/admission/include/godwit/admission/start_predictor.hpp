#pragma once

#include <godwit/admission/announced_retries.hpp>
#include <godwit/admission/cell_queues.hpp>
#include <godwit/admission/queue_order.hpp>
#include <godwit/admission/queue_recorder.hpp>
#include <godwit/admission/start_estimate.hpp>
#include <godwit/admission/wait_correction.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <map>
#include <optional>

namespace godwit::admission {

/// A stream without a server, and how much longer it may wait.
struct waiting_stream
{
    core::service_name service;
    int timely_rank = 0;
    int late_rank = 0; ///< Once it cannot start in time.
    retry_kind retry = retry_kind::none;
    bool is_new = true;           ///< It was not kept before.
    core::duration waited{};      ///< At its present rank.
    core::duration timely_left{}; ///< Not above zero if it is late.
    core::duration stay_left{};   ///< Until its caller needs it to start.

    friend bool
    operator==(const waiting_stream&, const waiting_stream&) = default;
};

/// Whether a stream is kept in the queue.
struct start_decision
{
    /// Predicted wait; empty if there are too few observations.
    std::optional<core::duration> wait;
    /// Set if the stream is to be refused: when its caller should retry.
    std::optional<core::duration> retry_after;

    friend bool
    operator==(const start_decision&, const start_decision&) = default;
};

/// Predicts when waiting streams start, and decides which of them are refused
/// because they would start too late.
class start_predictor
{
public:
    static constexpr core::duration min_retry_after =
        std::chrono::milliseconds(300);
    /// Callers with more time than this have none of the deadlines known.
    static constexpr core::duration max_retry_after = std::chrono::seconds(30);

    /// Streams of this host.
    [[nodiscard]] queue_recorder& own() noexcept { return own_; }

    /// Streams of the other hosts of the cell.
    [[nodiscard]] cell_queues& neighbours() noexcept { return neighbours_; }

    [[nodiscard]] announced_retries& retries() noexcept { return retries_; }

    [[nodiscard]] const announced_retries& retries() const noexcept
    {
        return retries_;
    }

    /// Decides on a stream that no server has capacity for. `jitter` is a
    /// random number in [0, 1).
    [[nodiscard]] start_decision decide(
        const waiting_stream& stream,
        core::time_point now,
        double jitter) const;

    /// Records the wait of a stream that started, and the one predicted on its
    /// arrival.
    void record_wait(
        const core::service_name& service,
        core::duration predicted,
        core::duration observed);

    /// Returns the correction of the predictions of this service.
    [[nodiscard]] wait_correction
    correction_of(const core::service_name& service) const;

    /// Removes what is too old to count, and observes how long more work
    /// arrives than starts. Called each 100 ms.
    void expire(core::time_point now);

private:
    [[nodiscard]] core::duration wait_at(
        const start_estimate& estimate,
        const waiting_stream& stream,
        int rank,
        core::time_point now) const;
    [[nodiscard]] core::duration retry_time(
        const start_estimate& estimate,
        const waiting_stream& stream,
        core::time_point now,
        double jitter) const;

    [[nodiscard]] std::optional<start_estimate>
    estimate_for(const core::service_name& service, core::time_point now) const;
    [[nodiscard]] double time_factor(
        const core::service_name& service,
        const start_estimate& estimate,
        core::time_point now) const;
    [[nodiscard]] core::duration overload_left(
        const core::service_name& service, core::time_point now) const;
    void observe(core::time_point now);
    void observe_arrivals(
        const core::service_name& service,
        const service_queue& own,
        const start_estimate& estimate);
    [[nodiscard]] double
    overtaking(const core::service_name& service, int timely_order) const;

    /// The highest start rate of the last seconds, which decays.
    struct held_rate
    {
        double per_second = 0;
        core::time_point observed_at;

        [[nodiscard]] double at(core::time_point now) const;
    };

    queue_recorder own_;
    cell_queues neighbours_;
    announced_retries retries_;
    std::map<core::service_name, wait_correction> corrections_;
    std::map<core::service_name, core::time_point> overloaded_since_;
    std::map<core::service_name, held_rate> rates_;
    /// Work per second that arrives without overload, by the timely order from
    /// which it is counted.
    std::map<core::service_name, std::map<int, double>> usual_arrivals_;
};

} // namespace godwit::admission
