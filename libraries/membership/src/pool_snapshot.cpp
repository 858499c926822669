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
    static const service_pool nothing;
    const auto found = std::lower_bound(
        pools_.begin(),
        pools_.end(),
        service,
        [](const service_pool& pool, const core::service_name& name) {
            return pool.service < name;
        });
    if (found == pools_.end() || found->service != service)
        return nothing;
    return *found;
}

bool pool_snapshot::is_eligible(
    const core::service_name& service, const core::server_address& server) const
{
    const auto has = [&](const std::vector<eligible_server>& servers) {
        return std::any_of(
            servers.begin(), servers.end(), [&](const eligible_server& one) {
                return one.address == server;
            });
    };
    const auto& of_service = pool_of(service);
    return has(of_service.own_zone) || has(of_service.other_zones);
}

} // namespace godwit::membership
