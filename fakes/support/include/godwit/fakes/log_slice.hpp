#pragma once

#include <godwit/fakes/log_record.hpp>

#include <cstdint>
#include <vector>

namespace godwit::fakes {

/// What a read of a stream gives.
struct log_slice
{
    std::uint64_t first = 0; ///< The oldest offset that is kept.
    std::uint64_t next = 0;  ///< One past the newest offset.
    std::vector<log_record> records;
};

} // namespace godwit::fakes
