#include <godwit/entry/rollout_conversion.hpp>

#include <godwit/entry/wire_age.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::entry {

namespace {

using rollout::response_counts;

// The longest duration accepted from another host.
constexpr std::uint64_t max_duration_ms = std::uint64_t{24} * 3600 * 1000;

wire::version_responses to_wire(
    const rollout::stratum& where,
    bool is_target,
    const response_counts& counts)
{
    wire::version_responses converted;
    converted.route = where.route;
    converted.zone = where.zone;
    converted.target = is_target;
    converted.total = counts.total;
    converted.failed = counts.failed;
    const auto last = std::find_if(
        counts.latencies.rbegin(),
        counts.latencies.rend(),
        [](std::uint64_t count) { return count > 0; });
    converted.latencies.assign(counts.latencies.begin(), last.base());
    return converted;
}

response_counts from_wire(const wire::version_responses& received)
{
    response_counts counts;
    counts.total = received.total;
    counts.failed = std::min(received.failed, received.total);
    const std::size_t buckets =
        std::min(received.latencies.size(), response_counts::latency_buckets);
    for (std::size_t bucket = 0; bucket < buckets; ++bucket)
        counts.latencies.at(bucket) =
            std::min(received.latencies[bucket], received.total);
    return counts;
}

} // namespace

wire::rollout_reports to_wire(
    const std::vector<rollout::rollout_status>& statuses, core::time_point now)
{
    wire::rollout_reports message;
    message.rollouts.reserve(statuses.size());
    for (const rollout::rollout_status& status : statuses) {
        const auto duration =
            std::chrono::duration_cast<std::chrono::milliseconds>(
                status.order.duration);
        message.rollouts.push_back(
            {status.order.service,
             status.order.target.value(),
             static_cast<std::uint64_t>(duration.count()),
             wire_age_ms(now - status.ordered_at),
             status.order.revision.epoch,
             status.order.revision.sequence,
             static_cast<wire::rollout_state>(status.state),
             status.is_recorded});
    }
    return message;
}

std::vector<rollout::rollout_status>
from_wire(const wire::rollout_reports& message, core::time_point now)
{
    std::vector<rollout::rollout_status> statuses;
    statuses.reserve(message.rollouts.size());
    for (const wire::rollout& received : message.rollouts) {
        if (received.service.empty() || received.target.empty())
            continue;
        const std::chrono::milliseconds duration(static_cast<std::int64_t>(
            std::min(received.duration_ms, max_duration_ms)));
        statuses.push_back(
            {{received.service,
              placement::server_version(received.target),
              duration,
              {received.epoch, received.sequence}},
             now - std::chrono::milliseconds(received.age_ms),
             static_cast<rollout::rollout_state>(received.state),
             received.recorded});
    }
    return statuses;
}

wire::rollout_responses to_wire(
    const rollout::rollout_order& order,
    const placement::host_group& cell,
    const rollout::stratified_counts& counts)
{
    wire::rollout_responses message;
    message.service = order.service;
    message.epoch = order.revision.epoch;
    message.sequence = order.revision.sequence;
    message.cell = cell.value();
    for (const auto& [where, versions] : counts) {
        if (versions.former.total > 0)
            message.responses.push_back(to_wire(where, false, versions.former));
        if (versions.target.total > 0)
            message.responses.push_back(to_wire(where, true, versions.target));
    }
    return message;
}

rollout::stratified_counts from_wire(const wire::rollout_responses& message)
{
    rollout::stratified_counts counts;
    for (const wire::version_responses& received : message.responses) {
        const auto side = received.target ? rollout::version_side::target
                                          : rollout::version_side::former;
        counts[{received.route, received.zone}].of(side) += from_wire(received);
    }
    return counts;
}

} // namespace godwit::entry
