#pragma once

#include <cstdint>

namespace godwit::admission {

/// What the observed output lengths of a route say about one of its runs, given
/// what the run has written.
struct observed_lengths
{
    /// Half of such runs write no more than this from now on.
    std::uint64_t median_remaining_tokens = 0;
    /// Nearly all such runs write no more than this from now on.
    std::uint64_t high_remaining_tokens = 0;
    /// What the run writes in the next two seconds, unless it ends before.
    std::uint64_t soon_tokens = 0;
    /// Whether the callers' estimates were closer to the lengths than the
    /// observed median was.
    bool are_estimates_better = false;

    friend bool
    operator==(const observed_lengths&, const observed_lengths&) = default;
};

} // namespace godwit::admission
