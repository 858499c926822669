#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// One chunk of a checkpoint of the catalogue before `next_offset`, a record
/// written by `catalogue::write_checkpoint`. The chunks of a snapshot are sent
/// in order and are not interleaved with those of another snapshot.
struct catalogue_snapshot
{
    /// Every record of the log below this offset is applied.
    std::uint64_t next_offset = 0;
    /// Hash of the whole catalogue.
    std::uint64_t hash = 0;
    std::uint32_t chunk_index = 0;
    std::uint32_t chunk_count = 1;
    std::string content;
    /// State offset of the newest checkpoint in the log; 0 if there is none.
    std::uint64_t checkpoint_offset = 0;
    /// Time of that checkpoint by the log's clock; 0 if unknown.
    std::uint64_t checkpoint_time_ms = 0;

    friend bool
    operator==(const catalogue_snapshot&, const catalogue_snapshot&) = default;
};

} // namespace godwit::wire
