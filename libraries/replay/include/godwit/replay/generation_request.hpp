#pragma once

#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace godwit::replay {

/// A caller's request for a generation.
struct generation_request
{
    std::size_t host = 0; ///< The entry host that receives it.
    core::time_point arrival_time;
    core::duration latency_objective{}; ///< Target time until the first event.
    core::duration caller_timeout{};    ///< Time until the caller disconnects.
    int priority = 0;                   ///< 0 is the most urgent.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0; ///< The actual output.
    /// The caller's estimate; 0 if there is none.
    std::uint32_t expected_output_tokens = 0;
    /// As stated by the caller; 0 stands for four times the actual output.
    std::uint32_t max_output_tokens = 0;
    std::size_t route = 0;

    friend bool
    operator==(const generation_request&, const generation_request&) = default;
};

} // namespace godwit::replay
