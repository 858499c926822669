// What the platform's host list changes.

#include <godwit/membership/pool.hpp>

#include "pool_emit.hpp"

#include <algorithm>
#include <set>

namespace godwit::membership {

void pool::on(const host_list_read& what)
{
    // An empty list is an outage of the list, not of every backend server.
    if (what.servers.empty()) {
        emit(host_list_implausible{members_.size(), members_.size()});
        return;
    }
    take_unlisted(what.servers);
    for (const auto& listed : what.servers)
        take_listed(listed);
}

void pool::take_listed(const listed_server& listed)
{
    auto found = members_.find(listed.address);
    if (found == members_.end()) {
        if (members_.size() >= settings_.server_limit)
            return;
        found = members_.emplace(listed.address, member()).first;
        changed_ = true;
    }
    auto& known = found->second;
    if (known.service != listed.service || known.zone != listed.zone) {
        known.service = listed.service;
        known.zone = listed.zone;
        changed_ = true;
    }
    known.listed_at = now_;
    known.listed_live = listed.state == listed_state::live;
    if (!known.listed_live) {
        begin_leaving(listed.address, known, "the host list says so");
        return;
    }
    // A late list shows a server as live for a while after it began to
    // leave, so a listing alone revives nothing that left: its own answer
    // does, after the hold.
}

// A server that the list leaves out is leaving, unless the list leaves out
// more than half of what is known: then it is the list that is damaged.
void pool::take_unlisted(const std::vector<listed_server>& listed)
{
    std::set<core::server_address> present;
    for (const auto& one : listed)
        present.insert(one.address);
    std::vector<core::server_address> missing;
    std::size_t counted = 0;
    for (const auto& [server, known] : members_) {
        const bool counts = known.state != server_state::leaving &&
                            known.state != server_state::gone;
        counted += counts ? 1 : 0;
        if (!present.contains(server)) {
            if (counts)
                missing.push_back(server);
            else
                members_.at(server).listed_live = false;
        }
    }
    if (missing.size() * 2 > counted) {
        emit(host_list_implausible{missing.size(), counted});
        return;
    }
    for (const auto& server : missing) {
        auto& known = members_.at(server);
        known.listed_live = false;
        begin_leaving(server, known, "the host list left it out");
    }
}

} // namespace godwit::membership
