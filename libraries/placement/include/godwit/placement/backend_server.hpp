#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/endpoint.hpp>

#include <cstdint>

namespace godwit::placement {

/// One run of a backend server's process; a restart makes a new one.
using server_id = core::identifier<struct server_id_tag>;

/// What a backend server says of itself.
enum class server_state
{
    ready,
    leaving, ///< Takes nothing new, and ends soon.
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
    /// Rises with each report of the server; orders views of unequal age.
    std::uint64_t revision = 0;

    friend bool
    operator==(const backend_server&, const backend_server&) = default;
};

} // namespace godwit::placement
