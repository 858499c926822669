#include <godwit/entry/shared_queue.hpp>

#include <godwit/entry/waiting_heads_conversion.hpp>

#include <godwit/telemetry/log.hpp>

#include <algorithm>
#include <utility>

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "shared_queue";
// How long an order is used: composing it takes time proportional to the number
// of waiting requests, and reports change it only each 100 ms.
constexpr core::duration order_lifetime = std::chrono::milliseconds(20);
constexpr core::duration log_interval = std::chrono::seconds(10);

} // namespace

shared_queue::shared_queue(
    const entry_settings& settings,
    wait_queue& queue,
    telemetry::metrics& metrics)
    : settings_(settings), queue_(queue), metrics_(metrics)
{
    queue_.set_order_source([this]() -> std::optional<queueing::queue_order> {
        if (!is_enabled())
            return std::nullopt;
        return order(core::monotonic_now());
    });
}

shared_queue::~shared_queue()
{
    queue_.set_order_source({});
}

const queueing::queue_order& shared_queue::order(core::time_point now)
{
    if (!order_ || now - ordered_at_ >= order_lifetime) {
        order_ = cell_.order(queue_.requests(), now);
        ordered_at_ = now;
    }
    return *order_;
}

core::duration shared_queue::delay(
    const queueing::waiting_request& request,
    const placement::server_id& server,
    core::time_point now)
{
    if (!is_enabled())
        return core::duration::zero();
    const std::size_t outranking = cell_.outranking(request, order(now), now);
    const core::duration delay = cell_.delay(request, order(now), server, now);
    if (outranking == 0)
        return delay;
    const bool is_overdue = delay == core::duration::zero();
    if (is_overdue) {
        ++counts_.overdue;
        metrics_
            .counter(
                "godwit_slots_overdue_total",
                "Slots that no more urgent request of another host used.")
            .Increment();
    } else {
        ++counts_.yields;
        metrics_
            .counter(
                "godwit_slot_yields_total",
                "Attempts that left a slot to a request of another host.")
            .Increment();
    }
    return delay;
}

core::time_point shared_queue::next_attempt(
    const queueing::waiting_request& request, core::time_point now)
{
    return now + cell_.attempt_interval(request, order(now), now);
}

void shared_queue::begin_run(
    const core::organisation_name& organisation,
    std::uint64_t tokens,
    core::time_point now)
{
    cell_.begin_run(organisation, tokens, now);
}

void shared_queue::end_run(
    const core::organisation_name& organisation,
    std::uint64_t tokens,
    core::time_point now)
{
    cell_.end_run(organisation, tokens, now);
}

void shared_queue::handle(
    const core::host_name& host,
    const wire::waiting_heads& message,
    core::time_point now)
{
    if (!is_enabled())
        return;
    received_queue_report received = from_wire(message, now);
    if (received.refused > 0)
        reject(host, received.refused);
    cell_.update_from_neighbour(host, std::move(received.report), now);
}

// Counts every refused value, but logs only the first ones from each host.
void shared_queue::reject(const core::host_name& host, std::size_t refused)
{
    metrics_
        .counter(
            "godwit_refused_waiting_heads_total",
            "Values of neighbours about waiting requests that are invalid.")
        .Increment(static_cast<double>(refused));
    const bool is_logged =
        malformed_from_.size() >= queueing::cell_queue::max_hosts ||
        !malformed_from_.insert(host).second;
    if (!is_logged)
        log_event(
            log_level::warning,
            component,
            "waiting_heads_refused",
            {{"neighbour", host}, {"count", refused}});
}

std::optional<wire::waiting_heads>
shared_queue::next_message(core::time_point now)
{
    if (!is_enabled())
        return std::nullopt;
    log_counts(now);
    const auto report = cell_.next_report(queue_.requests(), now);
    if (!report)
        return std::nullopt;
    return to_wire(*report, now);
}

void shared_queue::set_cell_peers(const std::set<core::host_name>& peers)
{
    cell_.retain_neighbours(peers);
    std::erase_if(malformed_from_, [&peers](const core::host_name& host) {
        return peers.count(host) == 0;
    });
}

void shared_queue::log_counts(core::time_point now)
{
    if (counts_ == counts() || now - logged_at_ < log_interval)
        return;
    logged_at_ = now;
    const counts logged = std::exchange(counts_, {});
    log_event(
        log_level::info,
        component,
        "slots_yielded",
        {{"yields", logged.yields},
         {"overdue", logged.overdue},
         {"waiting", queue_.size()},
         {"heads_elsewhere", cell_.heads(now).size()}});
}

} // namespace godwit::entry
