#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::http {

/// The bounds within which a server serves one connection, and how many.
struct server_limits
{
    /// Request line and header fields in all; beyond it 431.
    std::size_t header_bytes = std::size_t{16} * 1024;
    /// Request body, and at most half of what the server's account has; beyond
    /// it 413.
    std::size_t body_bytes = std::size_t{1024} * 1024;
    /// From a request's first byte to the end of its head; beyond it 408.
    core::duration header_timeout = std::chrono::seconds(10);
    /// From the end of a request's head to the end of its body; beyond it
    /// 408.
    core::duration body_timeout = std::chrono::seconds(30);
    /// A connection without a request is closed after it.
    core::duration idle_timeout = std::chrono::seconds(60);
    /// How long the caller may refuse one write; the connection is closed
    /// after it.
    core::duration write_timeout = std::chrono::seconds(30);
    /// Connections at one time. A further one takes the place of the one that
    /// had no request for longest, or is answered with 503.
    std::size_t connections = 4096;

    friend bool
    operator==(const server_limits&, const server_limits&) = default;
};

} // namespace godwit::http
