#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// The load that a backend server stated in a response.
struct load_statement
{
    std::string server;
    std::uint64_t started_at_ms = 0; ///< 0 if unknown.
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    std::uint32_t slowdown_percent = 0; ///< 100 if work takes as long as usual.
    /// Requests at the server that the sender knew of.
    std::uint32_t known_requests = 0;
    std::uint32_t age_ms = 0; ///< Time since the answered request was sent.

    friend bool
    operator==(const load_statement&, const load_statement&) = default;
};

/// Load statements that differ from those that the sender last sent.
struct load_statements
{
    std::vector<load_statement> statements;

    friend bool
    operator==(const load_statements&, const load_statements&) = default;
};

} // namespace godwit::wire
