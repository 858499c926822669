#pragma once

#include <cstdint>
#include <string>

namespace godwit::catalogue {

/// A record that drops the tombstones of deletions below an offset. An
/// agent appends it once a checkpoint that holds them is older than the
/// log's retention; as part of the log it acts on every host alike, and
/// twice is as good as once.
struct tombstone_drop
{
    std::uint64_t before_offset = 0;

    friend bool
    operator==(const tombstone_drop&, const tombstone_drop&) = default;
};

[[nodiscard]] std::string serialise_record(const tombstone_drop& drop);

} // namespace godwit::catalogue
