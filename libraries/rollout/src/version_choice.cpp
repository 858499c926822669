#include <godwit/rollout/version_choice.hpp>

namespace godwit::rollout {

namespace {

// Returns whether the version has no server that the request may use, whatever
// their load.
bool is_missing(placement::placement_failure failure)
{
    return failure == placement::placement_failure::no_server ||
           failure == placement::placement_failure::evacuated ||
           failure == placement::placement_failure::outside_regions;
}

} // namespace

// A request that has been tried at a server, or for which the target version
// has no capacity, uses the former version. Once every request goes to the
// target, the former servers must become idle, so that only a missing target
// leads back to them. Where the former version has no servers at all, the
// rollout was completed before this host knew of it; servers in an evacuated
// availability zone do not show that.
tl::expected<placement::placement_choice, placement::placement_failure>
choose_by_version(
    placement::placer& placer,
    const rollouts& known,
    placement::placement_request request,
    const version_request& caller,
    core::time_point now)
{
    const core::service_name& service = request.service->name;
    const rollout_status* status = known.find(service);
    if (status == nullptr)
        return placer.choose(request, now);
    const bool is_final = known.is_final(service, now);
    const bool is_retry = !request.excluded.empty() && !is_final;
    request.versions =
        is_retry ? known.former_versions(service)
                 : known.versions_for(
                       service, caller.request_id, caller.has_reports, now);
    const bool tries_target = request.versions.only.has_value();
    auto found = placer.choose(request, now);
    if (found)
        return found;
    if (tries_target && (!is_final || is_missing(found.error()))) {
        request.versions = known.former_versions(service);
        return placer.choose(request, now);
    }
    const bool may_use_target =
        status->state == rollout_state::running && request.excluded.empty() &&
        found.error() == placement::placement_failure::no_server;
    if (tries_target || !may_use_target)
        return found;
    request.versions = {status->order.target, {}};
    return placer.choose(request, now);
}

void keep_version(
    const rollouts& known,
    const placement::backend_server& server,
    placement::placement_request& request)
{
    if (known.find(server.service) != nullptr)
        request.versions.only = server.version;
}

} // namespace godwit::rollout
