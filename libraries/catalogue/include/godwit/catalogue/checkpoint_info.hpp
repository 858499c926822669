#pragma once

#include <cstdint>

namespace godwit::catalogue {

/// Where the newest complete checkpoint stands.
struct checkpoint_info
{
    /// The `next_offset` of the state that it holds.
    std::uint64_t state_offset = 0;
    /// The log's time of its last record; 0 if unknown.
    std::uint64_t time_ms = 0;

    friend bool
    operator==(const checkpoint_info&, const checkpoint_info&) = default;
};

} // namespace godwit::catalogue
