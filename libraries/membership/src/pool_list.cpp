// State changes that follow from the platform's host list.

#include <godwit/membership/pool.hpp>

#include "pool_emit.hpp"

#include <algorithm>
#include <set>

namespace godwit::membership {

void pool::on(const host_list_read& list)
{
    // An empty list means an outage of the host list, not of every server.
    if (list.servers.empty()) {
        emit(host_list_implausible{members_.size(), members_.size()});
        return;
    }
    update_unlisted(list.servers);
    for (const auto& listed : list.servers)
        update_listed(listed);
}

void pool::update_listed(const listed_server& listed)
{
    auto found = members_.find(listed.address);
    if (found == members_.end()) {
        if (members_.size() >= settings_.server_limit)
            return;
        found = members_.emplace(listed.address, member()).first;
        changed_ = true;
    }
    auto& entry = found->second;
    if (entry.service != listed.service || entry.zone != listed.zone) {
        entry.service = listed.service;
        entry.zone = listed.zone;
        changed_ = true;
    }
    entry.listed_at = now_;
    entry.listed_live = listed.state == listed_state::live;
    if (!entry.listed_live) {
        begin_leaving(listed.address, entry, "host list: leaving");
        return;
    }
    // A delayed list shows a server as live for some time after it began to
    // leave. A listing alone therefore does not restore a server that left;
    // only its own response after the hold time does.
}

// A server that is missing from the list is leaving, unless more than half of
// the known servers are missing: then the list is incomplete.
void pool::update_unlisted(const std::vector<listed_server>& listed)
{
    std::set<core::server_address> present;
    for (const auto& one : listed)
        present.insert(one.address);
    std::vector<core::server_address> missing;
    std::size_t active = 0;
    for (const auto& [server, entry] : members_) {
        const bool is_active = entry.state != server_state::leaving &&
                               entry.state != server_state::gone;
        active += is_active ? 1 : 0;
        if (!present.contains(server)) {
            if (is_active)
                missing.push_back(server);
            else
                members_.at(server).listed_live = false;
        }
    }
    if (missing.size() * 2 > active) {
        emit(host_list_implausible{missing.size(), active});
        return;
    }
    for (const auto& server : missing) {
        auto& entry = members_.at(server);
        entry.listed_live = false;
        begin_leaving(server, entry, "missing from the host list");
    }
}

} // namespace godwit::membership
