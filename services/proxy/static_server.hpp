#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::proxy {

/// A backend server that the settings name, for a proxy without an agent.
struct static_server
{
    core::server_address address;
    core::zone_name zone;
    core::service_name service;

    friend bool
    operator==(const static_server&, const static_server&) = default;
};

} // namespace godwit::proxy
