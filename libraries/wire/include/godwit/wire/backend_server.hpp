#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/wire/server_kind.hpp>
#include <godwit/wire/server_state.hpp>

namespace godwit::wire {

/// A backend server and its state as the agent knows it.
struct backend_server
{
    core::server_address address;
    core::zone_name zone;
    core::service_name service;
    server_kind kind = server_kind::plain;
    server_state state = server_state::live;

    friend bool
    operator==(const backend_server&, const backend_server&) = default;
};

} // namespace godwit::wire
