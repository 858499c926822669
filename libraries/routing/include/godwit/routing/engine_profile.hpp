#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>

namespace godwit::routing {

/// The capacity and features of an engine: a backend server of a language
/// model.
struct engine_profile
{
    std::uint32_t slots = 1; ///< Generations in one batch.
    /// KV cache capacity in tokens, for all generations together.
    std::uint64_t memory_tokens = 0;
    std::uint64_t token_bytes = 0; ///< KV cache memory of one token.
    /// Network bandwidth for copies of KV caches between servers.
    double link_mbit_per_second = 0;
    std::uint32_t tokens_per_event = 1;
    bool can_migrate = false; ///< Generations can continue on other servers.
    bool can_back_up = false; ///< Copies KV caches elsewhere as they grow.
    /// Longest time that it holds capacity for a request; zero if it cannot.
    core::duration max_hold{};

    friend bool
    operator==(const engine_profile&, const engine_profile&) = default;
};

} // namespace godwit::routing
