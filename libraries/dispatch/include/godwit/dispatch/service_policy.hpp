#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstddef>

namespace godwit::dispatch {

/// Limits of a service at this entry host.
struct service_policy
{
    /// The service.
    core::service_name name;
    /// Requests that may be queued; one more is refused.
    std::size_t queue_bound = 512;
    /// Expected memory that may be promised, as a multiple of what the engine
    /// has, above 0.
    double overcommit = 1.0;

    friend bool
    operator==(const service_policy&, const service_policy&) = default;
};

} // namespace godwit::dispatch
