#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// The log's record at `offset`. Only a receiver whose catalogue ends right
/// before it may apply it; any other sends its `catalogue_position` and gets a
/// snapshot.
struct catalogue_change
{
    std::uint64_t offset = 0;
    /// The log's own time of the append, in milliseconds.
    std::uint64_t time_ms = 0;
    /// The hash of the catalogue after the record; 0 when only a later
    /// change carries one.
    std::uint64_t hash = 0;
    /// The record as it stands on the log.
    std::string record;

    friend bool
    operator==(const catalogue_change&, const catalogue_change&) = default;
};

} // namespace godwit::wire
