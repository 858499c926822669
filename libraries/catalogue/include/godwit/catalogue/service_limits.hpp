#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace godwit::catalogue {

/// The bounds of each request to a service, and of its queue on one entry
/// host.
struct service_limits
{
    std::uint32_t queue_bound = 0; ///< Requests waiting on one entry host.
    std::chrono::milliseconds default_deadline{0};
    std::chrono::milliseconds maximum_deadline{0};
    std::uint32_t maximum_tokens = 0; ///< Per generation; 0 for plain.
    std::uint32_t maximum_body_bytes = 0;

    friend bool
    operator==(const service_limits&, const service_limits&) = default;
};

} // namespace godwit::catalogue
