#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// Asks a peer for every record from `next_offset` on; between entry hosts,
/// for the route table of that version or a newer one.
struct pull
{
    std::uint64_t next_offset = 0;
    /// The digest of the asker's table; empty for none.
    std::string base = {};
    bool takes_changes = false; ///< Whether it understands `table_changes`.

    friend bool operator==(const pull&, const pull&) = default;
};

} // namespace godwit::wire
