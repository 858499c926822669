#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/placement/server_start.hpp>

#include <cstdint>

namespace godwit::placement {

/// A backend server. It may start anew under its id; `server_start` tells
/// its lives apart.
using server_id = core::identifier<struct server_id_tag>;

/// What a backend server says of itself.
enum class server_state
{
    ready,
    draining, ///< Takes nothing new, and ends soon.
};

/// A backend server as the list of servers shows it.
struct backend_server
{
    server_id id;
    core::service_name service;
    http::endpoint address;
    core::zone_name zone;
    std::uint32_t slots = 1; ///< Requests that it works on at one time.
    server_state state = server_state::ready;
    /// Rises with each report of one life; orders views of unequal age.
    std::uint64_t revision = 0;
    server_start start = {}; ///< Of the life that this is said of.

    friend bool
    operator==(const backend_server&, const backend_server&) = default;
};

} // namespace godwit::placement
