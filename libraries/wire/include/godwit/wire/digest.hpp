#pragma once

#include <cstdint>

namespace godwit::wire {

/// What an agent has; constant in size whatever the catalogue's.
struct digest
{
    /// The offset of its catalogue; 0 is none.
    std::uint64_t offset = 0;
    std::uint64_t hash = 0;
    /// It can give the records after this offset, and a snapshot below.
    std::uint64_t record_floor = 0;
    /// Whether it reads the log itself.
    bool log_reachable = false;

    friend bool operator==(const digest&, const digest&) = default;
};

} // namespace godwit::wire
