#pragma once

#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <vector>

namespace godwit::bench {

enum class request_stage
{
    unborn,
    queued, ///< At an entry host.
    sent,   ///< On its way to or at an engine.
    completed,
    refused, ///< The system said no.
    left,    ///< The caller's patience ended before the first token.
    lost,    ///< Interrupted after the first token.
};

/// A request of the workload and what became of it.
struct simulated_request
{
    // As generated; the same for every policy.
    std::size_t index = 0;
    core::time_point arrives_at;
    std::size_t host = 0;
    std::size_t class_index = 0;
    std::size_t organisation = 0;
    std::uint32_t prompt_tokens = 0;
    std::uint32_t length = 0;
    std::uint32_t prefix = 0;
    std::uint32_t prefix_tokens = 0;
    /// Service time of a call.
    core::duration work{};

    // What became of it.
    request_stage stage = request_stage::unborn;
    /// The host whose scheduler owns it; differs from `host` only in the
    /// trial of home hosts.
    std::size_t owner = 0;
    std::size_t server = 0;
    /// Tells an event of this start from one of an earlier start.
    std::uint32_t start_number = 0;
    std::vector<std::size_t> excluded;
    core::time_point first_token_at;
    core::time_point last_token_at;
    core::time_point ended_at;
    core::duration longest_silence{};
    std::uint32_t tokens = 0;
    std::uint32_t tokens_told = 0;
    std::uint32_t slow_gaps = 0;
    std::uint32_t preemptions = 0;
    std::uint32_t preemptions_of_start = 0;
    /// Position among its owner's running generations.
    std::size_t active_position = 0;

    // The engine's own.
    int priority = 0;
    std::uint64_t join_number = 0;
    std::uint64_t counted_step = 0;
    std::uint64_t slow_steps_before = 0;
    std::uint32_t prefill_left = 0;
    std::uint32_t held_memory = 0;
    bool decoding = false;
};

} // namespace godwit::bench
