#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// One record of a checkpoint of the catalogue before `next_offset`, as
/// `catalogue::write_checkpoint` makes them. The records of one snapshot are
/// sent in order, with nothing of another snapshot between them.
struct catalogue_snapshot
{
    /// Every record of the log below this offset is folded.
    std::uint64_t next_offset = 0;
    /// The hash of the whole catalogue.
    std::uint64_t hash = 0;
    std::uint32_t chunk_index = 0;
    std::uint32_t chunk_count = 1;
    std::string content;
    /// The state offset of the newest checkpoint on the log; 0 is none.
    std::uint64_t checkpoint_offset = 0;
    /// The log's own time of that checkpoint; 0 if not known.
    std::uint64_t checkpoint_time_ms = 0;

    friend bool
    operator==(const catalogue_snapshot&, const catalogue_snapshot&) = default;
};

} // namespace godwit::wire
