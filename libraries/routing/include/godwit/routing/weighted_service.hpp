#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::routing {

/// A service that gets a share of a route's requests.
struct weighted_service
{
    core::service_name service;
    double weight = 1.0; ///< Relative to the sum of the route's weights.

    friend bool
    operator==(const weighted_service&, const weighted_service&) = default;
};

} // namespace godwit::routing
