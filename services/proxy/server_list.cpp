#include "server_list.hpp"

namespace godwit::proxy {

namespace {

membership::listed_server listed(const wire::backend_server& from)
{
    return {
        from.address,
        from.service,
        from.zone,
        from.state == wire::server_state::leaving
            ? membership::listed_state::leaving
            : membership::listed_state::live};
}

} // namespace

void server_list::apply(const wire::backend_servers& change)
{
    if (change.whole)
        servers_.clear();
    for (const auto& address : change.removed)
        servers_.erase(address);
    for (const auto& server : change.servers) {
        if (servers_.size() < limit || servers_.contains(server.address))
            servers_.insert_or_assign(server.address, listed(server));
    }
}

std::vector<membership::listed_server> server_list::all() const
{
    std::vector<membership::listed_server> servers;
    servers.reserve(servers_.size());
    for (const auto& [address, server] : servers_)
        servers.push_back(server);
    return servers;
}

} // namespace godwit::proxy
