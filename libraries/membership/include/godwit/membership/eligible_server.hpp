#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/membership/server_state.hpp>

namespace godwit::membership {

/// A backend server that may get new requests.
struct eligible_server
{
    core::server_address address;
    core::zone_name zone;
    server_state state = server_state::live; ///< `live` or `suspect`.

    friend bool
    operator==(const eligible_server&, const eligible_server&) = default;
};

} // namespace godwit::membership
