#pragma once

#include <godwit/platform/log_record.hpp>

#include <cstdint>
#include <vector>

namespace godwit::platform {

/// The result of one read of a stream.
struct log_page
{
    std::uint64_t first = 0;         ///< Oldest offset that the log still has.
    std::uint64_t next = 0;          ///< One past the newest record.
    std::vector<log_record> records; ///< In order, from the requested offset.

    friend bool operator==(const log_page&, const log_page&) = default;
};

} // namespace godwit::platform
