#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// Requests every record from `next_offset` on from a peer; between entry
/// hosts, the route table of version `next_offset` or newer.
struct pull
{
    std::uint64_t next_offset = 0;
    /// Digest of the sender's route table; empty if it has none.
    std::string base = {};
    bool takes_changes = false; ///< Whether it can read `table_changes`.

    friend bool operator==(const pull&, const pull&) = default;
};

} // namespace godwit::wire
