#include "policy_events.hpp"

#include "run_names.hpp"

#include <chrono>
#include <string>

namespace godwit::bench {

namespace {

dispatch::class_policy
limits_of(const workload_class& kind, const scheduler_variation& variation)
{
    dispatch::class_policy limits = kind.limits;
    if (!variation.longest_waits)
        limits.longest_wait = std::nullopt;
    if (kind.is_long && variation.longest_wait_s > 0.0)
        limits.longest_wait = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(variation.longest_wait_s));
    if (!variation.floors) {
        limits.memory_floor = 0.0;
        limits.start_floor = 0.0;
    }
    return limits;
}

dispatch::backend_server describe(const run_state& run, std::size_t server)
{
    const std::size_t zone =
        run.settings.variation.zones ? run.zone_of(server) : 0;
    if (run.is_engine(server)) {
        return {
            .address = address_of(server),
            .zone = zone_name_of(zone),
            .service = model_service_name(),
            .capacity = {
                .memory_tokens = run.plan.engine.memory_tokens,
                .running =
                    static_cast<std::uint32_t>(run.plan.engine.batch_limit)}};
    }
    return {
        .address = address_of(server),
        .zone = zone_name_of(zone),
        .service = plain_service_name(),
        .capacity = {.running = run.plan.service_concurrency}};
}

} // namespace

dispatch::policy_changed policy_event(const run_state& run)
{
    const scheduler_variation& variation = run.settings.variation;
    dispatch::policy_changed event;
    for (const workload_class& kind : run.plan.classes)
        event.value.classes.push_back(limits_of(kind, variation));
    // As many as the engines would queue for the baselines.
    const std::size_t bound = run.plan.engine.waiting_limit *
                              run.engines.size() / run.plan.entry_hosts;
    const double overcommit =
        variation.overcommit > 0.0 ? variation.overcommit : run.plan.overcommit;
    event.value.services = {
        {.name = model_service_name(),
         .queue_bound = bound,
         .overcommit = overcommit},
        {.name = plain_service_name()}};
    return event;
}

dispatch::servers_changed servers_event(const run_state& run, std::size_t host)
{
    dispatch::servers_changed event;
    event.entry_hosts = static_cast<std::uint32_t>(run.plan.entry_hosts);
    for (std::size_t index = 0; index < run.engines.size(); ++index) {
        if (!run.engines[index].alive)
            continue;
        if (run.home_hosts() && run.home_of(index) != host)
            continue;
        event.servers.push_back(describe(run, index));
    }
    if (run.home_hosts() || !run.settings.variation.knows_entry_hosts)
        event.entry_hosts = 1;
    for (std::size_t index = 0; index < run.services.size(); ++index)
        event.servers.push_back(describe(run, run.engines.size() + index));
    return event;
}

dispatch::request_arrived
arrival_event(const run_state& run, const simulated_request& request)
{
    const scheduler_variation& variation = run.settings.variation;
    const workload_class& kind = run.plan.classes[request.class_index];
    dispatch::request_arrived event;
    event.id = id_of(request);
    event.organisation = core::organisation_name(
        variation.organisations ? std::to_string(request.organisation) : "all");
    event.service =
        run.is_call(request) ? plain_service_name() : model_service_name();
    event.class_of_service = core::request_class_name(
        variation.classes ? kind.name : run.plan.classes.front().name);
    event.kind = kind.kind;
    event.times_preempted = request.preemptions;
    for (const std::size_t server : request.excluded)
        event.excluded.push_back(address_of(server));
    if (variation.deadlines)
        event.deadline = request.arrives_at + kind.patience;
    if (run.is_call(request))
        return event;
    event.prompt_tokens = request.prompt_tokens;
    event.max_tokens = kind.length.most;
    event.prefix_hash = variation.prefixes ? request.prefix : 0;
    return event;
}

} // namespace godwit::bench
