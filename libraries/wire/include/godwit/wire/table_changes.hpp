#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// One version of the route table made from the one before.
struct table_step
{
    std::uint64_t version = 0;
    std::string made;             ///< The digest of this version's text.
    std::uint64_t made_bytes = 0; ///< The size of this version's text.
    std::string compressed;       ///< As in `delta::text_patch`.

    friend bool operator==(const table_step&, const table_step&) = default;
};

/// The versions that lead from a text that the receiver has to the sender's,
/// one after the other.
struct table_changes
{
    std::string base; ///< The digest of that text; empty: from nothing.
    std::vector<table_step> steps;

    friend bool
    operator==(const table_changes&, const table_changes&) = default;
};

} // namespace godwit::wire
