#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// The request limit of a backend server, and the requests that the sender has
/// sent to it since its previous message about it.
struct server_limit
{
    std::string server;
    std::uint64_t started_at_ms = 0; ///< 0 if unknown.
    bool limited = false;            ///< Whether the server has a limit.
    double per_second = 0;           ///< Requests from all hosts together.
    std::uint32_t age_ms = 0;        ///< Time since the server's response.
    std::uint32_t sends = 0;         ///< Requests since the previous message.

    friend bool operator==(const server_limit&, const server_limit&) = default;
};

/// New, changed and lifted limits of backend servers.
struct server_limits
{
    std::vector<server_limit> limits;

    friend bool
    operator==(const server_limits&, const server_limits&) = default;
};

} // namespace godwit::wire
