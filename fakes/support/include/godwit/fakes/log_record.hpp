#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>
#include <string>

namespace godwit::fakes {

/// One record of a stream.
struct log_record
{
    std::uint64_t offset = 0;
    core::time_point appended; ///< Since 1970.
    std::string data;
};

} // namespace godwit::fakes
