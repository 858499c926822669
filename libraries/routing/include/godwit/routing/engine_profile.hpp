#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>

namespace godwit::routing {

/// What one backend server of a language model can hold and do.
struct engine_profile
{
    std::uint32_t slots = 1;         ///< Generations in one batch.
    std::uint64_t memory_tokens = 0; ///< Tokens of all of them together.
    std::uint64_t token_bytes = 0;   ///< Memory of one token, in bytes.
    double link_mbit_per_second = 0; ///< For copies of memory.
    std::uint32_t tokens_per_event = 1;
    bool can_migrate = false; ///< A generation can go on at another server.
    bool can_back_up = false; ///< Copies its memory elsewhere as it grows.
    /// How long it keeps room free for a request at the most; zero if it
    /// cannot.
    core::duration max_hold{};

    friend bool
    operator==(const engine_profile&, const engine_profile&) = default;
};

} // namespace godwit::routing
