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
    return changes;
}

wire::backend_servers server_view::whole() const
{
    wire::backend_servers view;
    view.whole = true;
    for (const auto& [address, server] : servers_)
        view.servers.push_back(server);
    return view;
}

} // namespace godwit::agent
