#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/wire/server_state.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// One life of a backend server, as the list of servers shows it.
struct listed_server
{
    std::string id; ///< A server may start anew under it.
    core::server_address address;
    core::zone_name zone;
    core::service_name service;
    std::uint32_t slots = 0; ///< Requests that it works on at one time.
    server_state state = server_state::live;
    std::uint64_t revision = 0; ///< Rises with each report of this life.
    /// When this life began, in Unix milliseconds; 0 is not known.
    std::uint64_t started_at_ms = 0;

    friend bool
    operator==(const listed_server&, const listed_server&) = default;
};

/// Servers of the list: all of them on a new link, then what changes.
struct listed_servers
{
    std::vector<listed_server> servers;

    friend bool
    operator==(const listed_servers&, const listed_servers&) = default;
};

} // namespace godwit::wire
