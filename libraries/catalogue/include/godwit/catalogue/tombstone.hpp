#pragma once

#include <godwit/catalogue/entry_key.hpp>
#include <godwit/core/identifiers.hpp>

#include <cstdint>

namespace godwit::catalogue {

/// What is kept of a deleted entry until a checkpoint older than the log's
/// retention holds it.
struct tombstone
{
    entry_key key;
    std::uint64_t version = 0; ///< Of the deletion.
    core::operator_name deleted_by;

    friend bool operator==(const tombstone&, const tombstone&) = default;
};

} // namespace godwit::catalogue
