#pragma once

#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace godwit::replay {

/// What a simulated engine holds, and how fast it is.
struct engine_config
{
    std::uint64_t memory_tokens = 34'000;
    std::uint32_t slots = 24;
    double step_ms = 7.0; ///< Of an engine with nothing to do.
    double step_ms_per_run = 0.12;
    std::uint32_t chunk_tokens = 112; ///< Of prompts that one step reads.
    double prefill_tokens_per_ms = 14.0;
    std::uint32_t tokens_per_event = 4;

    friend bool
    operator==(const engine_config&, const engine_config&) = default;
};

/// A span in which an engine takes so many times as long for each step.
struct slowdown
{
    std::size_t engine = 0;
    core::time_point begins{};
    core::time_point ends{};
    double times = 1.0;

    friend bool operator==(const slowdown&, const slowdown&) = default;
};

} // namespace godwit::replay
