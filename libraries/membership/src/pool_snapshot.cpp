#include <godwit/membership/pool_snapshot.hpp>

#include <algorithm>
#include <utility>

namespace godwit::membership {

pool_snapshot::pool_snapshot(
    std::uint64_t version, std::vector<service_pool> pools)
    : version_(version), pools_(std::move(pools))
{}

const service_pool&
pool_snapshot::pool_of(const core::service_name& service) const
{
    static const service_pool empty_pool;
    const auto found = std::lower_bound(
        pools_.begin(),
        pools_.end(),
        service,
        [](const service_pool& pool, const core::service_name& name) {
            return pool.service < name;
        });
    if (found == pools_.end() || found->service != service)
        return empty_pool;
    return *found;
}

bool pool_snapshot::is_eligible(
    const core::service_name& service, const core::server_address& server) const
{
    const auto has = [&](const std::vector<eligible_server>& servers) {
        return std::any_of(
            servers.begin(),
            servers.end(),
            [&](const eligible_server& candidate) {
                return candidate.address == server;
            });
    };
    const auto& candidates = pool_of(service);
    return has(candidates.own_zone) || has(candidates.other_zones);
}

} // namespace godwit::membership
