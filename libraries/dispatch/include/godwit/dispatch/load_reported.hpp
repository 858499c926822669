#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>

namespace godwit::dispatch {

/// A backend server's report of its load.
struct load_reported
{
    /// The server.
    core::server_address server;
    /// When the figures were true, on this process's clock.
    core::time_point measured_at;
    /// Requests in the batch.
    std::uint32_t running = 0;
    /// Requests that the server queues, the pushed-off ones included.
    std::uint32_t waiting = 0;
    /// Tokens in memory.
    std::uint64_t memory_tokens_used = 0;
    /// Tokens that fit its memory; 0 where unknown.
    std::uint64_t memory_tokens_capacity = 0;

    friend bool
    operator==(const load_reported&, const load_reported&) = default;
};

} // namespace godwit::dispatch
