// Who else there is: the host list, and what the duties and the links make of
// it.

#include "agent.hpp"

#include "peer_address.hpp"

#include <godwit/telemetry/log.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace godwit::agent {

namespace {

using telemetry::log_event;
using telemetry::log_level;

} // namespace

void agent::host_list_heard(const core::result<platform::host_list>& list)
{
    look_for_pause();
    if (!list) {
        log_event(
            log_level::warning,
            component,
            "host_list_unavailable",
            {{"reason", list.error().to_string()}});
        return;
    }
    proxies_.update_servers(*list);
    orders_->take_hosts(*list);
    platform::host_list entries;
    std::ranges::copy_if(
        *list, std::back_inserter(entries), [](const auto& host) {
            return host.kind == platform::host_kind::entry &&
                   !host.peer.empty();
        });
    if (host_list_known_ && entries == entry_hosts_)
        return;
    // An empty list is a fault of the list rather than the end of the fleet.
    if (entries.empty() && !entry_hosts_.empty())
        return;
    host_list_known_ = true;
    entry_hosts_ = std::move(entries);
    members_heard();
}

void agent::members_heard()
{
    std::vector<catalogue::member> members{{settings_.host, settings_.zone}};
    if (host_list_known_) {
        for (const platform::host_entry& host : entry_hosts_) {
            if (host.name != settings_.host)
                members.push_back({host.name, host.zone});
        }
    } else {
        for (const wire::hello& peer : peers_->peers())
            members.push_back({peer.host, peer.zone});
    }
    log_->set_hosts(members.size());
    catalogue_->handle(catalogue::members_changed{std::move(members)});
    connect_neighbours();
    tell_claims_of_members();
}

void agent::tell_claims_of_members()
{
    claims::entry_hosts_changed hosts;
    std::set<core::zone_name> zones{settings_.zone};
    hosts.zone_hosts.push_back(settings_.host);
    for (const platform::host_entry& host : entry_hosts_) {
        if (host.name == settings_.host)
            continue;
        ++hosts.all_hosts;
        zones.insert(host.zone);
        // A host that leaves takes on nothing new.
        if (host.zone == settings_.zone &&
            host.state == platform::host_state::live)
            hosts.zone_hosts.push_back(host.name);
    }
    hosts.zones = zones.size();
    claims_->handle(hosts);
}

std::optional<peer_address> agent::find_peer(const core::host_name& host) const
{
    const auto found =
        std::ranges::find(entry_hosts_, host, &platform::host_entry::name);
    if (found == entry_hosts_.end())
        return std::nullopt;
    const auto address = peer_address::of(*found);
    if (!address)
        return std::nullopt;
    return *address;
}

void agent::connect_neighbours()
{
    std::vector<peer_address> wanted;
    if (!host_list_known_ || entry_hosts_.empty()) {
        for (const settings::address& peer : settings_.peers) {
            if (const auto endpoint = to_endpoint(peer))
                wanted.push_back({core::host_name(), *endpoint});
        }
        peers_->set_neighbours(wanted);
        return;
    }
    const auto neighbours = follower().status(core::monotonic_now()).neighbours;
    for (const platform::host_entry& host : entry_hosts_) {
        if (std::ranges::find(neighbours, host.name) == neighbours.end())
            continue;
        const auto address = peer_address::of(host);
        if (address)
            wanted.push_back(*address);
        else
            log_event(
                log_level::warning,
                component,
                "bad_peer_address",
                {{"peer", host.name}, {"reason", address.error().to_string()}});
    }
    peers_->set_neighbours(wanted);
}

} // namespace godwit::agent
