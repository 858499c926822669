// Builds the snapshot of eligible servers.

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

// A server without a load report is eligible only if nothing is required.
bool pool::meets_requirement(const member& entry) const
{
    const auto found = requirements_.find(entry.service);
    if (found == requirements_.end())
        return true;
    const auto& required = found->second;
    const bool requires_nothing = required.model.empty() &&
                                  required.adapter.empty() &&
                                  required.version.empty();
    if (requires_nothing)
        return true;
    if (!entry.report)
        return false;
    return contains(entry.report->models, required.model) &&
           contains(entry.report->adapters, required.adapter) &&
           (required.version.empty() ||
            entry.report->version == required.version);
}

void pool::refresh_snapshot()
{
    std::map<core::service_name, service_pool> pools;
    for (const auto& [server, entry] : members_) {
        const bool eligible = entry.state == server_state::live ||
                              entry.state == server_state::suspect;
        if (!eligible || !meets_requirement(entry))
            continue;
        auto& candidates = pools[entry.service];
        candidates.service = entry.service;
        auto& servers = entry.zone == settings_.zone ? candidates.own_zone
                                                     : candidates.other_zones;
        servers.push_back({server, entry.zone, entry.state});
    }
    std::vector<service_pool> ordered;
    ordered.reserve(pools.size());
    for (auto& [service, candidates] : pools) {
        limit_to_subset(candidates);
        ordered.push_back(std::move(candidates));
    }
    if (ordered == snapshot_->pools())
        return;
    snapshot_ = std::make_shared<const pool_snapshot>(
        snapshot_->version() + 1, std::move(ordered));
    emit(publish_snapshot{snapshot_});
}

// Rendezvous hashing gives each entry host its own subset, which changes by one
// server when one server is added or removed. Servers of the host's own zone
// have priority.
void pool::limit_to_subset(service_pool& candidates) const
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
    keep_best(candidates.own_zone, settings_.subset_limit);
    keep_best(
        candidates.other_zones,
        settings_.subset_limit - candidates.own_zone.size());
}

} // namespace godwit::membership
