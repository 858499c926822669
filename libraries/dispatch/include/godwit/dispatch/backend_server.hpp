#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/dispatch/server_capacity.hpp>

namespace godwit::dispatch {

/// A backend server that is eligible for a service.
struct backend_server
{
    /// Where it listens.
    core::server_address address;
    /// Its availability zone.
    core::zone_name zone;
    /// The service that it serves.
    core::service_name service;
    /// What it can hold; a load report overrides its memory.
    server_capacity capacity;

    friend bool
    operator==(const backend_server&, const backend_server&) = default;
};

} // namespace godwit::dispatch
