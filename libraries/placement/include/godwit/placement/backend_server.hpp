#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/placement/server_start.hpp>

#include <cstdint>

namespace godwit::placement {

/// Identifies a backend server. The id stays the same over restarts;
/// `server_start` distinguishes the incarnations.
using server_id = core::identifier<struct server_id_tag>;

/// The version of a backend server's software.
using server_version = core::identifier<struct server_version_tag>;

/// The state that a backend server reports of itself.
enum class server_state
{
    ready,
    draining, ///< Takes no new requests and ends soon.
};

/// The record of a backend server in the server list.
struct backend_server
{
    server_id id;
    core::service_name service;
    http::endpoint address;
    core::zone_name zone;
    std::uint32_t slots = 1; ///< Requests that it can run concurrently.
    server_state state = server_state::ready;
    /// Increases with each record of one incarnation, which orders them.
    std::uint64_t revision = 0;
    server_start start = {}; ///< The incarnation that the record is about.
    /// How long the server stays cold, as of the record; zero if it is warm.
    core::duration warm_up_remaining = {};
    server_version version = {}; ///< Empty if unknown.

    friend bool
    operator==(const backend_server&, const backend_server&) = default;
};

} // namespace godwit::placement
