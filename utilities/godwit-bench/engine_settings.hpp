#pragma once

#include <cstddef>
#include <cstdint>

namespace godwit::bench {

/// The model engine's speed and size.
struct engine_settings
{
    /// Tokens of prompts and answers that fit its memory.
    std::uint64_t memory_tokens = 0;
    /// Generations in a batch at most.
    std::size_t batch_limit = 64;
    /// Generations that it queues; one more is refused.
    std::size_t waiting_limit = 64;
    /// Time of a step: a fixed part, and one for each generation.
    double step_base_ms = 14.0;
    double step_each_ms = 0.55;
    /// Prompt tokens that a step takes in besides, and the time of each.
    std::uint32_t prefill_chunk = 512;
    double prefill_token_ms = 0.04;
    /// Prompt prefixes that its cache holds.
    std::size_t cached_prefixes = 12;

    friend bool
    operator==(const engine_settings&, const engine_settings&) = default;
};

} // namespace godwit::bench
