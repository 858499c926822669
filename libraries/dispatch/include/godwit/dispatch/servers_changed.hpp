#pragma once

#include <godwit/dispatch/backend_server.hpp>

#include <cstdint>
#include <vector>

namespace godwit::dispatch {

/// The set of eligible backend servers changed.
struct servers_changed
{
    /// All that are eligible now; others receive nothing new.
    std::vector<backend_server> servers;
    /// Live entry hosts that send to the same servers, this one included.
    std::uint32_t entry_hosts = 1;

    friend bool
    operator==(const servers_changed&, const servers_changed&) = default;
};

} // namespace godwit::dispatch
