#pragma once

#include <cstdint>
#include <string>

namespace godwit::platform {

/// A record as returned by the log.
struct log_record
{
    std::uint64_t offset = 0;

    /// Time of the append by the log's clock, in milliseconds since
    /// 1970.
    std::uint64_t time_ms = 0;

    std::string data;

    friend bool operator==(const log_record&, const log_record&) = default;
};

} // namespace godwit::platform
