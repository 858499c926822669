#pragma once

#include <cstdint>

namespace godwit::dispatch {

/// What a backend server can hold.
struct server_capacity
{
    /// Tokens of prompts and answers that fit its memory; 0 for a plain
    /// service.
    std::uint64_t memory_tokens = 0;
    /// Requests that it serves at once at its intended speed; 0 is no limit.
    std::uint32_t running = 0;

    friend bool
    operator==(const server_capacity&, const server_capacity&) = default;
};

} // namespace godwit::dispatch
