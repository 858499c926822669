#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::routing {

/// Limits on the size and duration of callers' requests.
struct caller_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    core::duration header_timeout = std::chrono::seconds(3);
    core::duration idle_timeout = std::chrono::seconds(15);

    friend bool
    operator==(const caller_limits&, const caller_limits&) = default;
};

} // namespace godwit::routing
