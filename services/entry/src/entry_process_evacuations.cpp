#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/evacuation_conversion.hpp>

#include <godwit/telemetry/log.hpp>

// Evacuated availability zones: what the source and other hosts report.

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";

} // namespace

void entry_process::update_evacuation(
    const placement::zone_evacuation& change, std::string_view source)
{
    if (context_.evacuations.update(change, core::monotonic_now()))
        on_evacuations_changed({change}, source);
}

void entry_process::apply_evacuations(
    const std::vector<placement::zone_evacuation>& listed,
    placement::evacuation_revision revision,
    std::string_view source)
{
    on_evacuations_changed(
        context_.evacuations.apply_snapshot(
            listed, revision, core::monotonic_now()),
        source);
}

// Hosts that cannot read the source receive the changes from their neighbours.
// Each host forwards a change once, since it is news only once.
void entry_process::on_evacuations_changed(
    const std::vector<placement::zone_evacuation>& changes,
    std::string_view source)
{
    if (changes.empty())
        return;
    for (const placement::zone_evacuation& change : changes) {
        if (!change.is_evacuated)
            presume_cold_zone(change.zone);
        log_event(
            log_level::info,
            component,
            change.is_evacuated ? "zone_evacuated" : "zone_returned",
            {{"zone", change.zone},
             {"epoch", change.revision.epoch},
             {"sequence", change.revision.sequence},
             {"source", source}});
    }
    neighbours_->broadcast(to_wire(changes));
    context_.queue.wake_first();
}

void entry_process::expire_evacuations()
{
    on_evacuations_changed(
        context_.evacuations.expire(core::monotonic_now()), "lapsed");
}

void entry_process::handle_evacuations(
    const core::host_name& host, const wire::zone_evacuations& message)
{
    const core::time_point now = core::monotonic_now();
    std::vector<placement::zone_evacuation> changes;
    for (const placement::zone_evacuation& received : from_wire(message)) {
        if (context_.evacuations.update_from_neighbour(received, now))
            changes.push_back(received);
    }
    on_evacuations_changed(changes, host.value());
}

} // namespace godwit::entry
