#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// One record of the catalogue's stream.
struct log_record
{
    std::uint64_t offset = 0;
    /// The log's own time of the append, in milliseconds.
    std::uint64_t time_ms = 0;
    std::string body;

    friend bool operator==(const log_record&, const log_record&) = default;
};

} // namespace godwit::wire
