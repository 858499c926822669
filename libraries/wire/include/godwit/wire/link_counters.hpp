#pragma once

#include <cstdint>

namespace godwit::wire {

/// Traffic of one link; bytes include the frames' length prefixes.
struct link_counters
{
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;

    friend bool
    operator==(const link_counters&, const link_counters&) = default;
};

} // namespace godwit::wire
