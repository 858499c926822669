#include "engine_pools.hpp"

#include <algorithm>

namespace godwit::agent {

namespace {

orders::pool to_pool(const catalogue::service& service)
{
    orders::pool wanted{
        service.name,
        service.checks_fencing,
        {service.model, service.adapter, service.model_version},
        {}};
    for (const catalogue::engine_target& target : service.engine_targets)
        wanted.targets.push_back(
            {{target.model, target.adapter, target.version},
             {},
             target.replicas});
    return wanted;
}

} // namespace

orders::pools_changed pools_of(const catalogue::state& content)
{
    orders::pools_changed event;
    content.services().for_each(
        [&event](const auto& /*key*/, const catalogue::service& service) {
            if (service.kind == catalogue::service_kind::engine_pool &&
                !service.engine_targets.empty())
                event.pools.push_back(to_pool(service));
        });
    std::ranges::sort(event.pools, {}, &orders::pool::service);
    return event;
}

orders::engines_changed engines_of(const platform::host_list& list)
{
    orders::engines_changed event;
    for (const platform::host_entry& host : list)
        if (host.kind == platform::host_kind::engine &&
            host.state == platform::host_state::live)
            event.engines.push_back(
                {core::server_address(host.address), host.service});
    std::ranges::sort(event.engines, {}, &orders::live_engine::address);
    return event;
}

} // namespace godwit::agent
