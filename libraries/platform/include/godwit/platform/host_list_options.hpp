#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace godwit::platform {

/// How the host list is watched.
struct host_list_options
{
    /// Between two reads that succeed.
    core::duration interval = std::chrono::seconds(1);

    /// One read.
    core::duration timeout = std::chrono::seconds(2);

    /// The longest wait between tries while the list is not to be had.
    core::duration max_backoff = std::chrono::seconds(4);

    /// The largest list, in bytes; a larger one fails.
    std::size_t max_list_bytes = std::size_t{4} * 1024 * 1024;

    std::uint64_t seed = 0; ///< Of the jitter.

    friend bool
    operator==(const host_list_options&, const host_list_options&) = default;
};

} // namespace godwit::platform
