#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// One log record, and the catalogue that it leads to. Only a receiver that has
/// exactly `previous_offset` may apply it; any other sends its
/// `catalogue_position` and gets a snapshot.
struct catalogue_change
{
    std::uint64_t previous_offset = 0;
    std::uint64_t offset = 0;
    /// The hash of the catalogue after the record.
    std::uint64_t hash = 0;
    /// The record as it stands on the log.
    std::string record;

    friend bool
    operator==(const catalogue_change&, const catalogue_change&) = default;
};

} // namespace godwit::wire
