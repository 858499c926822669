#pragma once

#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace godwit::replay {

/// The capacity and speed of a simulated engine.
struct engine_config
{
    std::uint64_t memory_tokens = 34'000;
    std::uint32_t slots = 24;
    double step_ms = 7.0; ///< Duration of a step without runs and prefill.
    double step_ms_per_run = 0.12; ///< Added for each generation that runs.
    /// Prompt tokens that one step prefills.
    std::uint32_t prefill_chunk_tokens = 112;
    double prefill_tokens_per_ms = 14.0;
    std::uint32_t tokens_per_event = 4;

    friend bool
    operator==(const engine_config&, const engine_config&) = default;
};

/// A period in which each step of an engine takes `factor` times as long.
struct slowdown
{
    std::size_t engine = 0;
    core::time_point start{};
    core::time_point end{};
    double factor = 1.0;

    friend bool operator==(const slowdown&, const slowdown&) = default;
};

} // namespace godwit::replay
