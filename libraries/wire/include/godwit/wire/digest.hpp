#pragma once

#include <cstdint>

namespace godwit::wire {

/// Summary of an agent's catalogue; its size does not depend on the
/// catalogue's.
struct digest
{
    /// Every record below this offset is applied; 0 if there is no catalogue.
    std::uint64_t next_offset = 0;
    std::uint64_t hash = 0;
    /// Whether the log has confirmed, directly or through peers, that this is
    /// the newest catalogue.
    bool confirmed = false;
    /// Time since the last confirmation, in milliseconds.
    std::uint32_t age_ms = 0;

    friend bool operator==(const digest&, const digest&) = default;
};

} // namespace godwit::wire
