#pragma once

#include <godwit/wire/log_record.hpp>

#include <cstdint>
#include <vector>

namespace godwit::wire {

/// Response to a pull: consecutive records of the catalogue's stream, in log
/// order.
struct records
{
    std::vector<log_record> entries;
    /// Hash of the sender's catalogue after the last record.
    std::uint64_t end_hash = 0;

    friend bool operator==(const records&, const records&) = default;
};

} // namespace godwit::wire
