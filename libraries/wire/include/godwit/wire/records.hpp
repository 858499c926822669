#pragma once

#include <godwit/wire/log_record.hpp>

#include <cstdint>
#include <vector>

namespace godwit::wire {

/// The answer to a pull: consecutive records of the catalogue's stream, in log
/// order.
struct records
{
    std::vector<log_record> entries;
    /// The hash of the sender's catalogue after the last of them.
    std::uint64_t end_hash = 0;

    friend bool operator==(const records&, const records&) = default;
};

} // namespace godwit::wire
