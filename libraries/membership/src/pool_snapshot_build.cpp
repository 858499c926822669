// How the snapshot of eligible servers is made.

#include <godwit/membership/pool.hpp>

#include "pool_emit.hpp"

#include <godwit/core/hash.hpp>

#include <algorithm>

namespace godwit::membership {

namespace {

bool contains(const std::vector<std::string>& names, const std::string& name)
{
    return name.empty() ||
           std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

// A server that never reported is eligible only where nothing is required.
bool pool::meets_requirement(const member& known) const
{
    const auto found = requirements_.find(known.service);
    if (found == requirements_.end())
        return true;
    const auto& required = found->second;
    const bool requires_nothing = required.model.empty() &&
                                  required.adapter.empty() &&
                                  required.version.empty();
    if (requires_nothing)
        return true;
    if (!known.report)
        return false;
    return contains(known.report->models, required.model) &&
           contains(known.report->adapters, required.adapter) &&
           (required.version.empty() ||
            known.report->version == required.version);
}

void pool::refresh_snapshot()
{
    std::map<core::service_name, service_pool> pools;
    for (const auto& [server, known] : members_) {
        const bool eligible = known.state == server_state::live ||
                              known.state == server_state::suspect;
        if (!eligible || !meets_requirement(known))
            continue;
        auto& of_service = pools[known.service];
        of_service.service = known.service;
        auto& servers = known.zone == settings_.zone ? of_service.own_zone
                                                     : of_service.other_zones;
        servers.push_back({server, known.zone, known.state});
    }
    std::vector<service_pool> ordered;
    ordered.reserve(pools.size());
    for (auto& [service, of_service] : pools) {
        limit_to_subset(of_service);
        ordered.push_back(std::move(of_service));
    }
    if (ordered == snapshot_->pools())
        return;
    snapshot_ = std::make_shared<const pool_snapshot>(
        snapshot_->version() + 1, std::move(ordered));
    emit(publish_snapshot{snapshot_});
}

// Rendezvous hashing gives each entry host a subset of its own that changes
// by one server when one server comes or goes. The own zone goes first.
void pool::limit_to_subset(service_pool& of_service) const
{
    const auto keep_best = [&](std::vector<eligible_server>& servers,
                               std::size_t limit) {
        if (servers.size() <= limit)
            return;
        const auto weight = [&](const eligible_server& server) {
            return core::rendezvous_weight(
                settings_.host.value(), server.address.value());
        };
        std::sort(
            servers.begin(),
            servers.end(),
            [&](const auto& left, const auto& right) {
                return weight(left) > weight(right);
            });
        servers.resize(limit);
        std::sort(
            servers.begin(),
            servers.end(),
            [](const auto& left, const auto& right) {
                return left.address < right.address;
            });
    };
    keep_best(of_service.own_zone, settings_.subset_limit);
    keep_best(
        of_service.other_zones,
        settings_.subset_limit - of_service.own_zone.size());
}

} // namespace godwit::membership
