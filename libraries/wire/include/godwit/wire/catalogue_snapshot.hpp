#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// One part of the folded catalogue at `offset`. The parts of a snapshot are
/// sent in order; `content` joined is the JSON checkpoint of the catalogue.
struct catalogue_snapshot
{
    /// The log offset that the catalogue contains.
    std::uint64_t offset = 0;
    /// The hash of the whole catalogue at `offset`.
    std::uint64_t hash = 0;
    std::uint32_t chunk_index = 0;
    std::uint32_t chunk_count = 1;
    std::string content;

    friend bool
    operator==(const catalogue_snapshot&, const catalogue_snapshot&) = default;
};

} // namespace godwit::wire
