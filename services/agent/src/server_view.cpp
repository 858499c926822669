#include "server_view.hpp"

#include <utility>

namespace godwit::agent {

namespace {

wire::backend_server to_wire(const platform::host_entry& host)
{
    return {
        .address = core::server_address(host.address),
        .zone = host.zone,
        .service = host.service,
        .kind = host.kind == platform::host_kind::engine
                    ? wire::server_kind::engine
                    : wire::server_kind::plain,
        .state = host.state == platform::host_state::leaving
                     ? wire::server_state::leaving
                     : wire::server_state::live};
}

} // namespace

wire::backend_servers server_view::update(const platform::host_list& list)
{
    std::map<core::server_address, wire::backend_server> listed;
    for (const platform::host_entry& host : list) {
        if (host.kind == platform::host_kind::entry)
            continue;
        wire::backend_server server = to_wire(host);
        listed.emplace(server.address, std::move(server));
    }
    wire::backend_servers changes;
    changes.whole = !std::exchange(known_, true);
    for (const auto& [address, server] : listed) {
        const auto before = servers_.find(address);
        if (before == servers_.end() || before->second != server)
            changes.servers.push_back(server);
    }
    for (const auto& [address, server] : servers_) {
        if (!listed.contains(address))
            changes.removed.push_back(address);
    }
    servers_ = std::move(listed);
    const std::uint32_t count = count_entry_hosts(list);
    if (count != entry_hosts_ || changes.whole)
        changes.entry_hosts = count;
    entry_hosts_ = count;
    return changes;
}

// A list without a live entry host is a fault of the list rather than the end
// of the fleet: the last known count stays.
std::uint32_t
server_view::count_entry_hosts(const platform::host_list& list) const
{
    std::uint32_t listed = 0;
    std::uint32_t live = 0;
    bool is_own_listed = false;
    for (const platform::host_entry& host : list) {
        if (host.kind != platform::host_kind::entry)
            continue;
        ++listed;
        if (host.state == platform::host_state::live)
            ++live;
        if (host.name == own_host_)
            is_own_listed = true;
    }
    if (listed > 0 && !is_own_listed)
        ++live;
    return live > 0 ? live : entry_hosts_;
}

wire::backend_servers server_view::whole() const
{
    wire::backend_servers view;
    view.whole = true;
    view.entry_hosts = entry_hosts_;
    for (const auto& [address, server] : servers_)
        view.servers.push_back(server);
    return view;
}

} // namespace godwit::agent
