#pragma once

#include <godwit/platform/log_record.hpp>

#include <cstdint>
#include <vector>

namespace godwit::platform {

/// What one read of a stream returned.
struct log_page
{
    std::uint64_t first = 0; ///< The oldest offset that the log still keeps.
    std::uint64_t next = 0;  ///< One past the newest record.
    std::vector<log_record> records; ///< In order, from the offset asked for.

    friend bool operator==(const log_page&, const log_page&) = default;
};

} // namespace godwit::platform
