#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/wire/backend_server.hpp>

#include <cstdint>
#include <vector>

namespace godwit::wire {

/// The view of the backend servers, or a change to it.
struct backend_servers
{
    /// Whether `servers` replaces the view; else it is merged by address.
    bool whole = false;
    std::vector<backend_server> servers;
    std::vector<core::server_address> removed;
    /// Entry hosts that send to these servers, where that changed or the view
    /// is whole; 0 if it is not known or as before.
    std::uint32_t entry_hosts = 0;

    friend bool
    operator==(const backend_servers&, const backend_servers&) = default;
};

} // namespace godwit::wire
