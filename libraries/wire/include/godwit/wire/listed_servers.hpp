#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/wire/server_state.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// An entry of the list of servers: one incarnation of a backend server, from
/// one start of its process to the end.
struct listed_server
{
    std::string id; ///< A restarted server may keep it.
    core::server_address address;
    core::zone_name zone;
    core::service_name service;
    std::uint32_t slots = 0; ///< Number of concurrent requests.
    server_state state = server_state::live;
    std::uint64_t revision = 0; ///< Rises with each report until a restart.
    /// Start time in Unix milliseconds; 0 if unknown.
    std::uint64_t started_at_ms = 0;
    std::string version; ///< Of its software; empty if unknown.

    friend bool
    operator==(const listed_server&, const listed_server&) = default;
};

/// Entries of the list of servers: all on a new link, then those that change.
struct listed_servers
{
    std::vector<listed_server> servers;

    friend bool
    operator==(const listed_servers&, const listed_servers&) = default;
};

} // namespace godwit::wire
