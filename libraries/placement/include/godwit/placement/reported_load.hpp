#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/load_statement.hpp>

#include <cstdint>

namespace godwit::placement {

/// A backend server's load statement and what was known when it arrived.
struct reported_load
{
    server_id server;
    server_start start; ///< The incarnation that stated it.
    load_statement statement;
    /// Requests at the server that the receiving host knew of: its own and
    /// those reported by other hosts.
    std::uint32_t known_requests = 0;
    /// When the request was sent whose response has the statement.
    core::time_point requested_at;

    /// The stated requests that no host has reported.
    [[nodiscard]] std::uint32_t other_requests() const noexcept
    {
        return statement.requests() > known_requests
                   ? statement.requests() - known_requests
                   : 0;
    }

    friend bool
    operator==(const reported_load&, const reported_load&) = default;
};

} // namespace godwit::placement
