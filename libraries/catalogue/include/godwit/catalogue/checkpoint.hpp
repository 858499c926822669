#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::catalogue {

/// A complete checkpoint: every record of it was seen and is undamaged.
struct checkpoint
{
    std::uint64_t state_offset = 0; ///< The `next_offset` of its state.
    std::uint64_t hash = 0;         ///< Of its state, as its writer says.
    std::uint64_t last_record = 0;  ///< The offset that completed it.
    std::uint64_t time_ms = 0;      ///< The log's time of that record.
    std::vector<std::string> records;

    friend bool operator==(const checkpoint&, const checkpoint&) = default;
};

} // namespace godwit::catalogue
