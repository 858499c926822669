#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace godwit::fakes {

/// The make of a stand-in engine.
struct engine_settings
{
    std::string service = "model";
    /// Of one generation that runs alone.
    std::uint64_t tokens_per_second = 50;
    /// Generations that run at one time.
    std::size_t batch = 16;
    /// Memory for prompts and tokens of running generations.
    std::uint64_t memory_tokens = 20'000;
    /// Generations that wait; beyond it a start is refused as full.
    std::size_t waiting_limit = 64;
    /// Prompt prefixes kept; beyond it the longest unused is evicted.
    std::size_t cached_prefixes = 64;
    /// Finished generations that can still be resumed.
    std::size_t finished_kept = 4096;
    /// How old the reported load is.
    core::duration load_lag = std::chrono::milliseconds(200);
    bool checks_fencing = true;
    std::uint64_t seed = 1;
};

} // namespace godwit::fakes
