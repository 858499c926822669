#pragma once

#include <godwit/catalogue/record.hpp>

#include <cstdint>
#include <vector>

namespace godwit::catalogue {

/// An answer of the log: records from `from` on, possibly none.
struct log_records
{
    /// The offset that was asked for.
    std::uint64_t from = 0;
    /// The oldest record that the log still has.
    std::uint64_t first = 0;
    /// One past its newest record.
    std::uint64_t next = 0;
    std::vector<record> records;

    friend bool operator==(const log_records&, const log_records&) = default;
};

} // namespace godwit::catalogue
