#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace godwit::platform {

/// Settings for polling the host list.
struct host_list_options
{
    /// Interval between reads while they succeed.
    core::duration interval = std::chrono::seconds(1);

    /// Timeout of a read.
    core::duration timeout = std::chrono::seconds(2);

    /// Longest delay between reads while they fail.
    core::duration max_backoff = std::chrono::seconds(4);

    /// Largest response, in bytes; the read of a larger one fails.
    std::size_t max_list_bytes = std::size_t{4} * 1024 * 1024;

    std::uint64_t seed = 0; ///< Seed of the jitter.

    friend bool
    operator==(const host_list_options&, const host_list_options&) = default;
};

} // namespace godwit::platform
