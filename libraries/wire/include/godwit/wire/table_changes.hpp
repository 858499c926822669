#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// A version of the route table as a patch of the previous one.
struct table_step
{
    std::uint64_t version = 0;
    std::string made;             ///< Digest of this version's text.
    std::uint64_t made_bytes = 0; ///< Size of this version's text.
    std::string compressed;       ///< See `delta::text_patch`.

    friend bool operator==(const table_step&, const table_step&) = default;
};

/// Successive patches from a version that the receiver has to the sender's.
struct table_changes
{
    std::string base; ///< Digest of the receiver's text; empty for no base.
    std::vector<table_step> steps;

    friend bool
    operator==(const table_changes&, const table_changes&) = default;
};

} // namespace godwit::wire
