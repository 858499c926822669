#include <godwit/telemetry/request_metrics.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace godwit::telemetry {

namespace {

double seconds(core::duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace

request_metrics::request_metrics(
    metrics& target,
    core::service_name service,
    core::request_class_name request_class,
    core::time_point accepted_at)
    : metrics_(target), labels_{std::move(service), std::move(request_class)},
      gaps_(target.seconds_histogram(
          "godwit_token_gap_seconds",
          "Time between two arrivals of tokens of one generation.",
          labels_)),
      accepted_at_(accepted_at)
{}

void request_metrics::tokens_arrived(core::time_point now)
{
    const auto waited = now - last_token_at_.value_or(accepted_at_);
    longest_wait_ = std::max(longest_wait_, waited);
    if (last_token_at_)
        gaps_.Observe(seconds(waited));
    else
        metrics_
            .seconds_histogram(
                "godwit_first_token_seconds",
                "Time from a generation's arrival to its first token.",
                labels_)
            .Observe(seconds(waited));
    last_token_at_ = now;
}

void request_metrics::preempted()
{
    metrics_
        .counter(
            "godwit_preemptions_total",
            "Generations that an engine pushed off.",
            labels_)
        .Increment();
}

void request_metrics::crossed()
{
    metrics_
        .counter(
            "godwit_crossed_answers_total",
            "Answers dropped because they carried another request's id.",
            labels_)
        .Increment();
}

void request_metrics::finished(core::outcome outcome, core::time_point now)
{
    const auto waited = now - last_token_at_.value_or(accepted_at_);
    longest_wait_ = std::max(longest_wait_, waited);
    metrics_
        .seconds_histogram(
            "godwit_stall_seconds",
            "The longest time in one request with nothing arriving.",
            labels_)
        .Observe(seconds(longest_wait_));
    metrics_
        .seconds_histogram(
            "godwit_request_seconds",
            "Time from a request's arrival to its end.",
            labels_)
        .Observe(seconds(now - accepted_at_));
    auto by_outcome = labels_;
    by_outcome.outcome = outcome;
    metrics_
        .counter("godwit_requests_total", "Requests that ended.", by_outcome)
        .Increment();
}

} // namespace godwit::telemetry
