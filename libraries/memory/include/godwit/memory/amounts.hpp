#pragma once

#include <algorithm>
#include <cstddef>

namespace godwit::memory {

/// Amounts of the resources of a process.
struct amounts
{
    std::size_t bytes = 0; ///< Of memory, the kernel's for sockets included.
    std::size_t descriptors = 0;

    friend bool operator==(const amounts&, const amounts&) = default;

    friend constexpr amounts operator+(amounts left, amounts right) noexcept
    {
        return {left.bytes + right.bytes, left.descriptors + right.descriptors};
    }

    /// Subtracts each resource on its own, down to zero.
    friend constexpr amounts operator-(amounts left, amounts right) noexcept
    {
        return {
            left.bytes - std::min(left.bytes, right.bytes),
            left.descriptors - std::min(left.descriptors, right.descriptors)};
    }

    /// Whether there is enough of each resource for `needed`.
    [[nodiscard]] constexpr bool cover(amounts needed) const noexcept
    {
        return needed.bytes <= bytes && needed.descriptors <= descriptors;
    }
};

} // namespace godwit::memory
