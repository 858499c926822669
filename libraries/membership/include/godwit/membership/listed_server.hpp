#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::membership {

/// What the platform's host list says of a host.
enum class listed_state
{
    live,
    leaving,
};

/// One backend server as the platform's host list shows it.
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
