#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// The log record at `offset`. A receiver may apply it only if its catalogue
/// ends directly before it; any other receiver sends its `catalogue_position`
/// and gets a snapshot.
struct catalogue_change
{
    std::uint64_t offset = 0;
    /// Time of the append by the log's clock, in milliseconds.
    std::uint64_t time_ms = 0;
    /// Hash of the catalogue after the record; 0 if only a later change
    /// carries one.
    std::uint64_t hash = 0;
    /// The record as stored in the log.
    std::string record;

    friend bool
    operator==(const catalogue_change&, const catalogue_change&) = default;
};

} // namespace godwit::wire
