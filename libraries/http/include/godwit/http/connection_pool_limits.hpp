#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::http {

/// The bounds of a pool of idle connections.
struct connection_pool_limits
{
    std::size_t idle_per_server = 4;
    std::size_t idle_in_all = 256;
    /// Shorter than the servers' own idle timeout.
    core::duration idle_time = std::chrono::seconds(10);
    /// Whether connections use TCP keepalive, for servers that may take seconds
    /// to respond.
    bool uses_keepalive = false;

    friend bool operator==(
        const connection_pool_limits&, const connection_pool_limits&) = default;
};

} // namespace godwit::http
