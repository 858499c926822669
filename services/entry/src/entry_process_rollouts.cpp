#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/rollout_conversion.hpp>

#include <godwit/telemetry/log.hpp>

#include <chrono>
#include <utility>

// Rollouts of versions of backend servers: what the source and other hosts
// report, and what this host decides.

namespace godwit::entry {

using rollout::rollout_state;
using rollout::rollout_status;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "rollout";
// Interval between two comparisons of the versions.
constexpr core::duration judgement_interval = std::chrono::milliseconds(500);
// Interval between two reports of the responses. A rollout takes a minute or
// longer, and a report has some kilobytes.
constexpr core::duration responses_interval = std::chrono::seconds(1);

} // namespace

void entry_process::update_rollout(
    const rollout_status& reported, std::string_view source)
{
    if (!context_.rollouts.update(reported))
        return;
    context_.rollouts.record_completion(
        reported.order.service, core::monotonic_now());
    publish_rollout(reported.order.service, source);
    if (!reported.is_recorded)
        request_rollout_record(reported.order.service);
}

void entry_process::withdraw_rollout(
    const core::service_name& service,
    const rollout::order_revision& revision,
    std::string_view source)
{
    if (!context_.rollouts.withdraw(service, revision))
        return;
    publish_rollout(service, source);
    request_rollout_record(service);
}

// The state is passed on from host to host, since some hosts cannot read its
// source.
void entry_process::publish_rollout(
    const core::service_name& service, std::string_view source)
{
    const core::time_point now = core::monotonic_now();
    const rollout_status& known = *context_.rollouts.find(service);
    log_event(
        log_level::info,
        component,
        "rollout",
        {{"service", service},
         {"to", known.order.target},
         {"state", rollout::to_string(known.state)},
         {"recorded", known.is_recorded},
         {"epoch", known.order.revision.epoch},
         {"sequence", known.order.revision.sequence},
         {"duration_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(
              known.order.duration)
              .count()},
         {"age_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(
              now - known.ordered_at)
              .count()},
         {"source", source}});
    neighbours_->broadcast(to_wire({known}, now));
    context_.queue.wake_first();
}

void entry_process::request_rollout_record(const core::service_name& service)
{
    if (context_.on_rollout_changed)
        context_.on_rollout_changed(*context_.rollouts.find(service));
}

void entry_process::handle_rollouts(
    const core::host_name& host, const wire::rollout_reports& message)
{
    for (const rollout_status& reported :
         from_wire(message, core::monotonic_now()))
        update_rollout(reported, host.value());
}

void entry_process::handle_rollout_responses(
    const core::host_name& host, const wire::rollout_responses& message)
{
    rollout::fleet_counts* counts = context_.rollouts.counts(
        message.service, {message.epoch, message.sequence});
    if (counts == nullptr)
        return;
    const placement::host_group cell(message.cell);
    if (cell.empty() && neighbours_->is_cell_peer(host))
        counts->update_from_neighbour(host, from_wire(message));
    else if (!cell.empty() && cell != neighbours_->cell())
        counts->update_from_group(cell, from_wire(message));
}

// A host without reports of the others would not learn that the target is bad.
bool entry_process::has_fleet_reports() const
{
    if (fleet_size_ <= 1)
        return !is_joining_fleet();
    return !is_joining_fleet() &&
           context_.ledger.active_neighbours(core::monotonic_now()) > 0;
}

void entry_process::advance_rollouts()
{
    if (context_.rollouts.running().empty())
        return;
    const core::time_point now = core::monotonic_now();
    if (now - responses_sent_at_ >= responses_interval) {
        responses_sent_at_ = now;
        broadcast_responses();
    }
    if (now - rollouts_judged_at_ < judgement_interval)
        return;
    rollouts_judged_at_ = now;
    context_.rollouts.set_host_count(fleet_size_);
    for (const rollout::rollback& each : context_.rollouts.judge())
        on_rolled_back(each);
    for (const rollout_status& each : context_.rollouts.running())
        check_completion(each);
}

void entry_process::on_rolled_back(const rollout::rollback& ended)
{
    const rollout::judgement& reason = ended.reason;
    log_event(
        log_level::warning,
        component,
        "version_worse",
        {{"service", ended.status.order.service},
         {"to", ended.status.order.target},
         {"route", reason.route},
         {"criterion", rollout::to_string(reason.criterion)},
         {"former_total", reason.former.total},
         {"former_bad", reason.former.bad},
         {"target_total", reason.target.total},
         {"target_bad", reason.target.bad}});
    publish_rollout(ended.status.order.service, "judged");
    request_rollout_record(ended.status.order.service);
}

void entry_process::broadcast_responses()
{
    for (const rollout_status& each : context_.rollouts.running()) {
        rollout::fleet_counts* counts =
            context_.rollouts.counts(each.order.service, each.order.revision);
        neighbours_->broadcast(
            to_wire(each.order, placement::host_group(), counts->own()),
            audience::cell);
        if (!neighbours_->cell().empty())
            neighbours_->broadcast(
                to_wire(
                    each.order,
                    neighbours_->cell(),
                    counts->own_and_neighbours()),
                audience::other_cells);
    }
}

rollout::version_capacity
entry_process::capacity_of(const rollout_status& status) const
{
    return rollout::capacity_of(
        context_.rollouts,
        status.order,
        context_.directory,
        context_.ledger,
        context_.evacuations,
        core::monotonic_now());
}

void entry_process::check_completion(const rollout_status& status)
{
    const core::time_point now = core::monotonic_now();
    const core::service_name& service = status.order.service;
    const auto decision = completion_check_.decide(
        status,
        context_.rollouts.is_final(service, now),
        capacity_of(status),
        now);
    if (decision == rollout::completion::give_up)
        withdraw_rollout(service, status.order.revision, "too_few_servers");
    else if (
        decision == rollout::completion::complete &&
        context_.on_rollout_completable)
        context_.on_rollout_completable(status);
}

bool entry_process::may_complete(const rollout_status& status) const
{
    const core::service_name& service = status.order.service;
    const rollout_status* known = context_.rollouts.find(service);
    if (known == nullptr || known->order.revision != status.order.revision ||
        !context_.rollouts.is_final(service, core::monotonic_now()))
        return false;
    const rollout::version_capacity capacity = capacity_of(status);
    return has_fleet_reports() && capacity.is_target_sufficient() &&
           capacity.is_former_idle();
}

} // namespace godwit::entry
