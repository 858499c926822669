#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// A backend server that is cold, and the requests that the sender has sent to
/// it since its previous message about it.
struct cold_server
{
    std::string server;
    std::uint64_t started_at_ms = 0; ///< 0 if unknown.
    std::uint32_t remaining_ms = 0;  ///< Time until the server is warm.
    std::uint32_t sends = 0;         ///< Requests since the previous message.

    friend bool operator==(const cold_server&, const cold_server&) = default;
};

/// Backend servers that are cold.
struct cold_servers
{
    std::vector<cold_server> servers;

    friend bool operator==(const cold_servers&, const cold_servers&) = default;
};

} // namespace godwit::wire
