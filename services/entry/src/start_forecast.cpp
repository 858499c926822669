#include <godwit/entry/start_forecast.hpp>

#include <godwit/telemetry/log.hpp>

#include <utility>

namespace godwit::entry {

namespace {

// Bounds the memory for hosts whose messages were logged; a fleet has fewer.
constexpr std::size_t max_logged_hosts = 1024;

} // namespace

admission::start_decision start_forecast::decide(
    const admission::waiting_stream& stream, core::time_point now)
{
    return predictor_.decide(stream, now, random_.unit());
}

void start_forecast::announce(
    const admission::announced_retry& retry, core::time_point now)
{
    if (predictor_.retries().announce(retry, now) &&
        unsent_retries_.size() < admission::announced_retries::max_retries)
        unsent_retries_.push_back(retry);
}

// One empty message after the last work ends its report at the neighbours.
std::optional<wire::queue_sums> start_forecast::next(core::time_point now)
{
    if (now - sent_at_ < report_interval)
        return std::nullopt;
    predictor_.expire(now);
    const admission::host_queues sums = predictor_.own().sums(now);
    const bool is_idle = sums.empty() && unsent_retries_.empty();
    if (std::exchange(was_idle_, is_idle) && is_idle)
        return std::nullopt;
    sent_at_ = now;
    return to_wire(sums, std::exchange(unsent_retries_, {}), now);
}

void start_forecast::handle(
    const core::host_name& host,
    const wire::queue_sums& message,
    core::time_point now)
{
    received_queue_sums received = from_wire(message, now);
    if (received.invalid > 0)
        record_invalid(host, received.invalid);
    predictor_.neighbours().update(host, std::move(received.queues), now);
    for (const admission::announced_retry& each : received.retries)
        predictor_.retries().announce(each, now);
}

void start_forecast::record_invalid(
    const core::host_name& host, std::size_t count)
{
    metrics_
        .counter(
            "godwit_refused_queue_sums_total",
            "Entries about waiting streams that a neighbour told and that "
            "cannot be.")
        .Increment(static_cast<double>(count));
    if (invalid_sums_from_.size() < max_logged_hosts &&
        invalid_sums_from_.insert(host).second)
        telemetry::log_event(
            telemetry::log_level::warning,
            "neighbours",
            "queue_sums_refused",
            {{"neighbour", host}, {"count", count}});
}

} // namespace godwit::entry
