#pragma once

#include <cstdint>

namespace godwit::wire {

/// What an agent has; constant in size whatever the catalogue's.
struct digest
{
    /// Every record below it is folded; 0 is no catalogue.
    std::uint64_t next_offset = 0;
    std::uint64_t hash = 0;
    /// It can give the records from here on; below, a snapshot.
    std::uint64_t first_record = 0;
    /// Whether it reads the log itself.
    bool log_reachable = false;

    friend bool operator==(const digest&, const digest&) = default;
};

} // namespace godwit::wire
