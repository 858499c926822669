#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace godwit::fakes {

/// The make of the stand-in platform.
struct platform_settings
{
    /// Appends in all streams; a second's worth may come at once.
    std::uint64_t appends_per_second = 300;
    std::size_t record_bytes = std::size_t{64} * 1024;
    /// Records older than this are trimmed.
    core::duration retention_time = std::chrono::hours(1);
    /// Records of one stream beyond this are trimmed.
    std::size_t retention_records = 100'000;
    std::size_t streams = 16;
    core::duration host_list_lag = std::chrono::milliseconds(500);
};

} // namespace godwit::fakes
