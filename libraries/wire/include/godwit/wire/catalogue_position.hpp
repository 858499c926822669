#pragma once

#include <cstdint>

namespace godwit::wire {

/// The catalogue that the sender has in force; 0 is none. A proxy sends it
/// first and after each change.
struct catalogue_position
{
    std::uint64_t offset = 0;
    std::uint64_t hash = 0;

    friend bool
    operator==(const catalogue_position&, const catalogue_position&) = default;
};

} // namespace godwit::wire
