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
// Time for which the servers of the former version have to be idle before a
// rollout is completed. A host's report of a request that it sent there takes
// less.
constexpr core::duration idle_before_completion = std::chrono::seconds(1);
// The smallest number of slots of the target version that may replace those of
// the former one.
constexpr double min_capacity_ratio = 0.8;

} // namespace

void entry_process::update_rollout(
    const rollout_status& reported, std::string_view source)
{
    if (!context_.rollouts.update(reported))
        return;
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

// A host that does not hear the other hosts would not learn that the target is
// bad.
bool entry_process::is_fleet_heard() const
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
    for (const rollout_status& each : context_.rollouts.running()) {
        const bool is_due = is_target_sufficient(each) ||
                            now - each.ordered_at >= each.order.duration;
        if (context_.rollouts.is_final(each.order.service, now) && is_due)
            end_rollout(each);
    }
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

// Whether the target's servers can take over the requests of the former ones.
bool entry_process::is_target_sufficient(const rollout_status& status) const
{
    std::uint64_t target_slots = 0;
    std::uint64_t former_slots = 0;
    for (const placement::backend_server* server :
         context_.directory.usable(status.order.service)) {
        const bool is_target = server->version == status.order.target;
        (is_target ? target_slots : former_slots) += server->slots;
    }
    return target_slots > 0 &&
           static_cast<double>(target_slots) >=
               min_capacity_ratio * static_cast<double>(former_slots);
}

// The former servers stop at once when the rollout is recorded as completed, so
// that their runs have to end first. A target that has too few servers at the
// deadline cannot replace them.
void entry_process::end_rollout(const rollout_status& status)
{
    if (!is_target_sufficient(status)) {
        withdraw_rollout(
            status.order.service, status.order.revision, "too_few_servers");
        return;
    }
    const core::time_point now = core::monotonic_now();
    if (is_former_version_busy(status)) {
        former_busy_at_ = now;
        return;
    }
    if (now - former_busy_at_ >= idle_before_completion &&
        context_.on_rollout_completable)
        context_.on_rollout_completable(status);
}

bool entry_process::is_former_version_busy(const rollout_status& status) const
{
    const core::time_point now = core::monotonic_now();
    for (const placement::backend_server* server :
         context_.directory.usable(status.order.service)) {
        if (server->version != status.order.target &&
            context_.ledger.at(server->id, now).requests > 0)
            return true;
    }
    return false;
}

bool entry_process::may_complete(const rollout_status& status) const
{
    const core::time_point now = core::monotonic_now();
    const rollout_status* known = context_.rollouts.find(status.order.service);
    return known != nullptr && known->order.revision == status.order.revision &&
           context_.rollouts.is_final(status.order.service, now) &&
           is_fleet_heard() && is_target_sufficient(status) &&
           !is_former_version_busy(status);
}

} // namespace godwit::entry
