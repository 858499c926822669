#pragma once

#include <cstdint>
#include <optional>

namespace godwit::admission {

/// The size of a generation as stated by its caller.
struct generation_parameters
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t max_output_tokens = 0;
    /// The caller's estimate: right at the median, often far off.
    std::optional<std::uint32_t> expected_output_tokens;

    friend bool operator==(
        const generation_parameters&, const generation_parameters&) = default;
};

} // namespace godwit::admission
