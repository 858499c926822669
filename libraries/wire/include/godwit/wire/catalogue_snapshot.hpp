#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// One part of the folded catalogue before `next_offset`. The parts of a
/// snapshot are sent in order; `content` joined is the catalogue's checkpoint.
struct catalogue_snapshot
{
    /// Every record of the log below this offset is folded.
    std::uint64_t next_offset = 0;
    /// The hash of the whole catalogue.
    std::uint64_t hash = 0;
    std::uint32_t chunk_index = 0;
    std::uint32_t chunk_count = 1;
    std::string content;

    friend bool
    operator==(const catalogue_snapshot&, const catalogue_snapshot&) = default;
};

} // namespace godwit::wire
