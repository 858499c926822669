#pragma once

#include <cstdint>
#include <string>

namespace godwit::platform {

/// One record as the log returns it.
struct log_record
{
    std::uint64_t offset = 0;

    /// The log's own time of the append, in milliseconds since 1970.
    std::uint64_t time_ms = 0;

    std::string data;

    friend bool operator==(const log_record&, const log_record&) = default;
};

} // namespace godwit::platform
