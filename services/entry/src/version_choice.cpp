#include <godwit/entry/version_choice.hpp>

namespace godwit::entry {

namespace {

bool is_missing(placement::placement_failure failure)
{
    return failure == placement::placement_failure::no_server;
}

} // namespace

// A request that has been tried at a server, or for which the target version
// has no capacity, uses the former version. Once every request goes to the
// target, the former servers must become idle, so that only a missing target
// leads back to them. Where the former version has no servers at all, the
// rollout was completed before this host knew of it.
tl::expected<placement::placement_choice, placement::placement_failure>
choose_by_version(
    entry_context& context,
    const routed_call& call,
    placement::placement_request request,
    core::time_point now)
{
    const core::service_name& service = call.service.name;
    const rollout::rollout_status* known = context.rollouts.find(service);
    if (known == nullptr)
        return context.placer.choose(request, now);
    const bool is_final = context.rollouts.is_final(service, now);
    const bool is_retry = !request.excluded.empty() && !is_final;
    request.versions =
        is_retry ? context.rollouts.former_versions(service)
                 : context.rollouts.versions_for(
                       service,
                       call.metadata.attempt_id,
                       context.is_fleet_heard && context.is_fleet_heard(),
                       now);
    const bool tries_target = request.versions.only.has_value();
    auto found = context.placer.choose(request, now);
    if (found)
        return found;
    if (tries_target && (!is_final || is_missing(found.error()))) {
        request.versions = context.rollouts.former_versions(service);
        return context.placer.choose(request, now);
    }
    const bool may_use_target =
        known->state == rollout::rollout_state::running &&
        request.excluded.empty() && is_missing(found.error());
    if (tries_target || !may_use_target)
        return found;
    request.versions = {known->order.target, {}};
    return context.placer.choose(request, now);
}

void keep_version(
    const entry_context& context,
    const placement::backend_server& server,
    placement::placement_request& request)
{
    if (context.rollouts.find(server.service) != nullptr)
        request.versions.only = server.version;
}

} // namespace godwit::entry
