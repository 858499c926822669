#include "order_pools.hpp"

#include <algorithm>

namespace godwit::agent {

namespace {

orders::pool to_pool(const catalogue::service& service)
{
    orders::pool pool{
        .service = service.name,
        .checks_fencing = service.checks_fencing,
        .serving = {service.model, service.adapter, service.model_version},
        .targets = {}};
    for (const catalogue::engine_target& target : service.engine_targets)
        pool.targets.push_back(
            {.choice = {target.model, target.adapter, target.version},
             .role = {},
             .replicas = target.replicas});
    return pool;
}

} // namespace

std::vector<orders::pool> pools_of(const catalogue::state& content)
{
    std::vector<orders::pool> pools;
    content.services().for_each(
        [&pools](const auto& /*name*/, const catalogue::service& service) {
            if (service.kind == catalogue::service_kind::engine_pool &&
                !service.engine_targets.empty())
                pools.push_back(to_pool(service));
        });
    std::ranges::sort(pools, {}, &orders::pool::service);
    return pools;
}

std::vector<orders::live_engine> engines_of(const platform::host_list& list)
{
    std::vector<orders::live_engine> engines;
    for (const platform::host_entry& host : list) {
        if (host.kind == platform::host_kind::engine &&
            host.state == platform::host_state::live)
            engines.push_back(
                {core::server_address(host.address), host.service});
    }
    return engines;
}

} // namespace godwit::agent
