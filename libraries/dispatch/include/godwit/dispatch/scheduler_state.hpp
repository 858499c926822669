#pragma once

#include <godwit/dispatch/service_state.hpp>

#include <cstddef>
#include <vector>

namespace godwit::dispatch {

/// What a scheduler holds, for the state dump.
struct scheduler_state
{
    /// Services with servers or requests.
    std::vector<service_state> services;
    /// Requests known, queued or started.
    std::size_t requests = 0;
    /// Organisations with any state; idle ones have none.
    std::size_t organisations = 0;

    friend bool
    operator==(const scheduler_state&, const scheduler_state&) = default;
};

} // namespace godwit::dispatch
