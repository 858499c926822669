#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

namespace godwit::bench {

/// A replica of the plain service.
struct plain_service
{
    std::size_t zone = 0;
    std::uint32_t running = 0;
    /// Requests by index, the longest waiting first.
    std::deque<std::size_t> waiting;
};

} // namespace godwit::bench
