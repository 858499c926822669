#include <godwit/entry/call_regions.hpp>

namespace godwit::entry {

namespace {

// Routes and organisations that the table in force no longer has say nothing
// about a request that was accepted before. A migration may outlive the
// exchange of its call, so that the route is found by that of the request's
// arrival.
routing::region_set
regions_in_force(const routing::route_table& routes, const routed_call& call)
{
    routing::region_set allowed = routing::region_set::all();
    const routing::route* route =
        routes.find_route(call.route.host, call.route.path_prefix);
    if (route != nullptr)
        allowed = allowed.intersection(route->allowed_regions);
    const routing::organisation* organisation =
        call.organisation ? routes.find_organisation(call.metadata.key)
                          : nullptr;
    if (organisation != nullptr)
        allowed = allowed.intersection(organisation->allowed_regions);
    return allowed;
}

} // namespace

routing::region_set
allowed_regions_of(const entry_context& context, const routed_call& call)
{
    if (!context.routes || context.routes == call.routes)
        return call.allowed_regions;
    return call.allowed_regions.intersection(
        regions_in_force(*context.routes, call));
}

bool may_process_in(
    const entry_context& context,
    const routed_call& call,
    const core::zone_name& zone)
{
    return context.settings.regions.is_in(
        zone, allowed_regions_of(context, call));
}

void restrict_to_allowed_regions(
    const entry_context& context,
    const routed_call& call,
    placement::placement_request& request)
{
    request.allowed_regions = allowed_regions_of(context, call);
    request.regions = &context.settings.regions;
}

} // namespace godwit::entry
