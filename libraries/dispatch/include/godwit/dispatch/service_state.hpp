#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/dispatch/server_state.hpp>

#include <cstddef>
#include <vector>

namespace godwit::dispatch {

/// What a scheduler holds of a service, for the state dump.
struct service_state
{
    /// The service.
    core::service_name name;
    /// Requests that wait.
    std::size_t queued = 0;
    /// Its backend servers.
    std::vector<server_state> servers;

    friend bool
    operator==(const service_state&, const service_state&) = default;
};

} // namespace godwit::dispatch
