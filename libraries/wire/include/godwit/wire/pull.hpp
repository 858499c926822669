#pragma once

#include <cstdint>

namespace godwit::wire {

/// Asks a peer for every record from `next_offset` on.
struct pull
{
    std::uint64_t next_offset = 0;

    friend bool operator==(const pull&, const pull&) = default;
};

} // namespace godwit::wire
