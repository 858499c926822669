#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace godwit::entry {

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

/// What a caller says of its request beside the request itself.
struct call_terms
{
    std::string attempt_id; ///< Of this attempt alone; empty if absent.
    std::optional<core::duration> time_left; ///< Until the caller leaves.
    std::string key; ///< Proves the organisation; empty if absent.
    std::optional<generation_terms> generation;

    friend bool operator==(const call_terms&, const call_terms&) = default;
};

} // namespace godwit::entry
