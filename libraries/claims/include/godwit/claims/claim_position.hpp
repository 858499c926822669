#pragma once

#include <compare>
#include <cstdint>

namespace godwit::claims {

/// Where a claim stands on the stream: the offset of its log record and its
/// place in that record's batch. The lowest position wins.
struct claim_position
{
    std::uint64_t offset = 0;
    std::uint32_t index = 0;

    friend bool
    operator==(const claim_position&, const claim_position&) = default;
    friend auto
    // clang-tidy 14 takes the comparison with 0 inside a defaulted <=> for a
    // null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    operator<=>(const claim_position&, const claim_position&) = default;
};

} // namespace godwit::claims
