#include <godwit/entry/forecast_stream.hpp>

#include <godwit/admission/caller_stay.hpp>
#include <godwit/entry/call_messages.hpp>
#include <godwit/telemetry/log.hpp>

#include <chrono>

namespace godwit::entry {

using admission::wait_stage;

namespace {

// Callers are told times in hundredths of a second. A rounded-down time would
// make them retry before they are expected.
constexpr core::duration retry_unit = std::chrono::milliseconds(10);
// A refusal this soon after the arrival counts as immediate.
constexpr core::duration immediate = std::chrono::milliseconds(50);

core::duration rounded_up(core::duration time)
{
    const core::duration excess = time % retry_unit;
    return excess == core::duration::zero() ? time : time + retry_unit - excess;
}

std::int64_t milliseconds(core::duration time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

forecast_stream::forecast_stream(
    entry_context& context,
    std::shared_ptr<const routed_call> call,
    const admission::wait_policy& policy,
    const std::optional<admission::generation_size>& size)
    : context_(context), call_(std::move(call)),
      policy_(policy), work_{1, size ? size->work().tokens : 0},
      latest_start_(admission::latest_start(
          {call_->arrival_time,
           call_->deadline,
           call_->route.latency_objective,
           call_->route.gap_objective,
           size})),
      stage_since_(call_->arrival_time)
{
    const core::time_point now = call_->arrival_time;
    auto& predictor = context_.forecast.predictor();
    const bool may_be_retry = predictor.retries().size() > 0;
    if (may_be_retry && predictor.retries().claim(fingerprint_of(*call_), now))
        retry_ = admission::retry_kind::announced;
    predictor.own().record_arrival(
        call_->service.name, order_in(wait_stage::timely), work_, now);
}

forecast_stream::~forecast_stream()
{
    stop_waiting();
}

int forecast_stream::order_in(wait_stage stage) const
{
    return admission::queue_order_of(policy_.rank(stage), retry_);
}

bool forecast_stream::is_too_late(wait_stage stage, core::time_point now)
{
    if (was_checked_ && now - checked_at_ < check_interval)
        return false;
    checked_at_ = now;
    const core::duration timely_left =
        stage == wait_stage::timely
            ? policy_.stage_end(wait_stage::timely) - now
            : core::duration::zero();
    decision_ = context_.forecast.decide(
        {call_->service.name,
         policy_.rank(wait_stage::timely),
         policy_.rank(wait_stage::late),
         retry_,
         !waiting_in_,
         waiting_in_ ? now - stage_since_ : core::duration::zero(),
         timely_left,
         latest_start_ - now},
        now);
    if (!was_checked_)
        predicted_ = decision_.wait;
    was_checked_ = true;
    return decision_.retry_after.has_value();
}

core::duration forecast_stream::announce_retry(core::time_point now)
{
    const core::duration told = rounded_up(decision_.retry_after.value_or(
        admission::start_predictor::min_retry_after));
    context_.forecast.announce(
        {fingerprint_of(*call_),
         call_->service.name,
         admission::queue_order_of(
             policy_.rank(wait_stage::timely),
             admission::retry_kind::announced),
         work_.tokens,
         now + told},
        now);
    log_refusal(told, now);
    return told;
}

void forecast_stream::set_waiting(wait_stage stage, core::time_point now)
{
    if (waiting_in_ == stage)
        return;
    stop_waiting();
    auto& own = context_.forecast.predictor().own();
    if (stage == wait_stage::late)
        own.record_arrival(call_->service.name, order_in(stage), work_, now);
    own.add_waiting(call_->service.name, order_in(stage), work_);
    waiting_in_ = stage;
    stage_since_ = stage == wait_stage::late ? now : call_->arrival_time;
}

void forecast_stream::stop_waiting()
{
    if (!waiting_in_)
        return;
    context_.forecast.predictor().own().remove_waiting(
        call_->service.name, order_in(*waiting_in_), work_);
    waiting_in_.reset();
}

void forecast_stream::set_started(core::time_point now)
{
    const wait_stage stage = waiting_in_.value_or(wait_stage::timely);
    stop_waiting();
    auto& predictor = context_.forecast.predictor();
    predictor.own().record_start(
        call_->service.name, order_in(stage), work_, now);
    if (!predicted_)
        return;
    const core::duration waited = now - call_->arrival_time;
    predictor.record_wait(call_->service.name, *predicted_, waited);
    predicted_.reset();
}

void forecast_stream::log_refusal(
    core::duration retry_after, core::time_point now) const
{
    const core::duration waited = now - call_->arrival_time;
    context_.metrics
        ->counter(
            waited <= immediate ? "godwit_predicted_refusals_on_arrival_total"
                                : "godwit_predicted_refusals_later_total",
            "Streams refused because they would start too late.")
        .Increment();
    telemetry::log_event(
        telemetry::log_level::info,
        "entry",
        "start_too_late",
        {{"request", call_->metadata.attempt_id},
         {"service", call_->service.name},
         {"predicted_ms",
          milliseconds(decision_.wait.value_or(core::duration()))},
         {"stay_ms", milliseconds(latest_start_ - now)},
         {"retry_ms", milliseconds(retry_after)},
         {"retried", retry_ == admission::retry_kind::announced},
         {"waited_ms", milliseconds(waited)}});
}

} // namespace godwit::entry
