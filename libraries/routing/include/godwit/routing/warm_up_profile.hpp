#pragma once

#include <godwit/core/time.hpp>

namespace godwit::routing {

/// What the backend servers of a service tolerate while they are cold.
struct warm_up_profile
{
    core::duration duration{}; ///< How long a server is cold after its start.
    /// Requests from all hosts together; above zero.
    double requests_per_second = 1;

    friend bool
    operator==(const warm_up_profile&, const warm_up_profile&) = default;
};

} // namespace godwit::routing
