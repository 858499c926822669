#pragma once

#include <godwit/catalogue/entry.hpp>

#include <cstdint>
#include <optional>

namespace godwit::catalogue {

/// One step of a change set: a new value for one entry, or its deletion.
struct change
{
    entry_key key;
    /// The version that the operator saw; 0 when there was no such entry.
    std::uint64_t expected_version = 0;
    std::optional<entry> value; ///< None deletes the entry.

    friend bool operator==(const change&, const change&) = default;
};

} // namespace godwit::catalogue
