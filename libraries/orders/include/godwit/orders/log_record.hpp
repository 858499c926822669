#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace godwit::orders {

/// The platform's clock, as it stamps records.
using log_time = std::chrono::milliseconds;

/// One record as read from the log.
struct log_record
{
    std::uint64_t offset = 0;
    log_time time{0};
    std::string data;

    friend bool operator==(const log_record&, const log_record&) = default;
};

} // namespace godwit::orders
