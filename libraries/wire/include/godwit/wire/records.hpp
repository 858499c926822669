#pragma once

#include <godwit/wire/log_record.hpp>

#include <vector>

namespace godwit::wire {

/// Consecutive records of the catalogue's stream, in log order.
struct records
{
    std::vector<log_record> entries;

    friend bool operator==(const records&, const records&) = default;
};

} // namespace godwit::wire
