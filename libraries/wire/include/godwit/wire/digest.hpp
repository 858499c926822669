#pragma once

#include <cstdint>

namespace godwit::wire {

/// What an agent has; constant in size whatever the catalogue's.
struct digest
{
    /// Every record below it is folded; 0 is no catalogue.
    std::uint64_t next_offset = 0;
    std::uint64_t hash = 0;
    /// Whether the log ever confirmed, directly or through peers, that this
    /// is the newest catalogue.
    bool confirmed = false;
    /// How long ago it last did, in milliseconds.
    std::uint32_t age_ms = 0;

    friend bool operator==(const digest&, const digest&) = default;
};

} // namespace godwit::wire
