#pragma once

#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace godwit::replay {

/// A generation that a caller asks for.
struct generation_request
{
    std::size_t host = 0; ///< The entry host that its caller reaches.
    core::time_point arrives;
    core::duration objective{}; ///< Until the first event.
    core::duration patience{};  ///< Until the caller leaves.
    int priority = 0;           ///< 0 is the most urgent.
    std::uint32_t prompt_tokens = 0;
    std::uint32_t output_tokens = 0;   ///< That it will write.
    std::uint32_t expected_tokens = 0; ///< Its caller's guess.

    friend bool
    operator==(const generation_request&, const generation_request&) = default;
};

} // namespace godwit::replay
