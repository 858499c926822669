#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/wire/backend_server.hpp>

#include <cstdint>
#include <vector>

namespace godwit::wire {

/// The list of backend servers, or a change to it.
struct backend_servers
{
    /// Whether `servers` replaces the list; otherwise it is merged into it by
    /// address.
    bool whole = false;
    std::vector<backend_server> servers;
    std::vector<core::server_address> removed;
    /// Number of entry hosts that send to these servers, set if it changed or
    /// the list is complete; 0 if it is unknown or unchanged.
    std::uint32_t entry_hosts = 0;

    friend bool
    operator==(const backend_servers&, const backend_servers&) = default;
};

} // namespace godwit::wire
