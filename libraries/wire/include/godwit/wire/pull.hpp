#pragma once

#include <cstdint>

namespace godwit::wire {

/// Asks a peer for everything after `have`.
struct pull
{
    std::uint64_t have = 0;

    friend bool operator==(const pull&, const pull&) = default;
};

} // namespace godwit::wire
