#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::membership {

/// The state of a host in the platform's host list.
enum class listed_state
{
    live,
    leaving,
};

/// A backend server in the platform's host list.
struct listed_server
{
    core::server_address address;
    core::service_name service;
    core::zone_name zone;
    listed_state state = listed_state::live;

    friend bool
    operator==(const listed_server&, const listed_server&) = default;
};

} // namespace godwit::membership
