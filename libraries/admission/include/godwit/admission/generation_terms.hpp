#pragma once

#include <cstdint>
#include <optional>

namespace godwit::admission {

/// How large a generation is, as its caller says.
struct generation_terms
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t most_output_tokens = 0;
    /// The caller's guess; right at the median, often far off.
    std::optional<std::uint32_t> expected_output_tokens;

    friend bool
    operator==(const generation_terms&, const generation_terms&) = default;
};

} // namespace godwit::admission
