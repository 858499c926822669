#pragma once

#include <godwit/catalogue/state.hpp>

#include <cstdint>

namespace godwit::catalogue {

/// A catalogue reassembled from checkpoint records.
struct checkpoint
{
    state_pointer content;
    /// The offset of the last record that was needed.
    std::uint64_t last_record = 0;
    /// The log's time of that record.
    std::uint64_t time_ms = 0;

    friend bool operator==(const checkpoint&, const checkpoint&) = default;
};

} // namespace godwit::catalogue
