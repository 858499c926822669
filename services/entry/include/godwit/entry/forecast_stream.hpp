#pragma once

#include <godwit/admission/generation_size.hpp>
#include <godwit/admission/start_predictor.hpp>
#include <godwit/admission/wait_policy.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>

#include <memory>
#include <optional>

namespace godwit::entry {

/// One stream in the start forecast: it counts as waiting until it starts or
/// its search ends.
class forecast_stream
{
public:
    /// Interval between two predictions of a waiting stream.
    static constexpr core::duration check_interval =
        std::chrono::milliseconds(100);

    forecast_stream(
        entry_context& context,
        std::shared_ptr<const routed_call> call,
        const admission::wait_policy& policy,
        const std::optional<admission::generation_size>& size);
    ~forecast_stream();

    forecast_stream(const forecast_stream&) = delete;
    forecast_stream& operator=(const forecast_stream&) = delete;

    /// Whether the stream is predicted to start after its caller left.
    [[nodiscard]] bool
    is_too_late(admission::wait_stage stage, core::time_point now);

    /// Announces the retry of a stream that is refused, after the prediction,
    /// and returns when its caller should retry.
    [[nodiscard]] core::duration announce_retry(core::time_point now);

    /// Counts the stream as waiting in this stage.
    void set_waiting(admission::wait_stage stage, core::time_point now);

    /// Records that the stream has a server.
    void set_started(core::time_point now);

    /// Ends the stream's count as waiting.
    void stop_waiting();

    /// The latest time at which its caller needs it to start.
    [[nodiscard]] core::time_point latest_start() const noexcept
    {
        return latest_start_;
    }

    /// Whether its caller retries when it was told to.
    [[nodiscard]] admission::retry_kind retry() const noexcept
    {
        return retry_;
    }

private:
    [[nodiscard]] int order_in(admission::wait_stage stage) const;
    void log_refusal(core::duration retry_after, core::time_point now) const;

    entry_context& context_;
    std::shared_ptr<const routed_call> call_;
    admission::wait_policy policy_;
    admission::work_amount work_;
    core::time_point latest_start_;
    admission::retry_kind retry_ = admission::retry_kind::none;
    std::optional<admission::wait_stage> waiting_in_;
    core::time_point stage_since_;
    /// Predicted on arrival; empty if there was no prediction.
    std::optional<core::duration> predicted_;
    bool was_checked_ = false;
    admission::start_decision decision_; ///< The last one.
    core::time_point checked_at_;
};

} // namespace godwit::entry
