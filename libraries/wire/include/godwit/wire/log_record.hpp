#pragma once

#include <cstdint>
#include <string>

namespace godwit::wire {

/// A record of the catalogue's stream in the log.
struct log_record
{
    std::uint64_t offset = 0;
    /// Time of the append by the log's clock, in milliseconds.
    std::uint64_t time_ms = 0;
    std::string body;

    friend bool operator==(const log_record&, const log_record&) = default;
};

} // namespace godwit::wire
