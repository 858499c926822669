#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::proxy {

/// What one caller may hold up, and how many there may be.
struct caller_settings
{
    /// Requests in flight, orphaned generations included; one more is
    /// refused with 503.
    std::size_t in_flight = 4096;
    /// Bytes written for a caller that its connection did not yet take;
    /// above it the backend server is not read any further.
    std::size_t buffer_bytes = std::size_t{64} * 1024;
    /// How long the caller may refuse one write before it is cut off.
    core::duration slow_limit = std::chrono::seconds(10);

    friend bool
    operator==(const caller_settings&, const caller_settings&) = default;
};

} // namespace godwit::proxy
