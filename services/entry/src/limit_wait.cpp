#include <godwit/entry/limit_wait.hpp>

#include <godwit/entry/call_regions.hpp>

#include <algorithm>

namespace godwit::entry {

core::duration shortest_limit_wait(
    const entry_context& context,
    const routed_call& call,
    const std::vector<placement::server_id>& excluded,
    core::time_point now)
{
    core::duration shortest = core::duration::max();
    const routing::region_set allowed = allowed_regions_of(context, call);
    for (const placement::backend_server* server :
         context.directory.usable(call.service.name)) {
        const bool is_excluded =
            std::find(excluded.begin(), excluded.end(), server->id) !=
            excluded.end();
        if (is_excluded || context.evacuations.is_evacuated(server->zone) ||
            !context.settings.regions.is_in(server->zone, allowed))
            continue;
        const core::duration wait = std::max(
            {context.limits.wait_time(server->id, now),
             context.cold_servers.wait_time(server->id, now),
             context.health.requested_backoff_left(server->id, now)});
        shortest = std::min(shortest, wait);
    }
    return shortest;
}

} // namespace godwit::entry
