#pragma once

#include <cstdint>

namespace godwit::wire {

/// The version of the catalogue that the sender uses. A proxy sends it when the
/// link opens, with 0 if it has no catalogue, and after each change.
struct catalogue_position
{
    /// Every record below this offset is applied.
    std::uint64_t next_offset = 0;
    std::uint64_t hash = 0;

    friend bool
    operator==(const catalogue_position&, const catalogue_position&) = default;
};

} // namespace godwit::wire
