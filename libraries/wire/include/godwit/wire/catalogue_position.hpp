#pragma once

#include <cstdint>

namespace godwit::wire {

/// The catalogue that the sender has in force. A proxy sends it first, with 0
/// for none, and after each change.
struct catalogue_position
{
    /// Every record below it is folded.
    std::uint64_t next_offset = 0;
    std::uint64_t hash = 0;

    friend bool
    operator==(const catalogue_position&, const catalogue_position&) = default;
};

} // namespace godwit::wire
