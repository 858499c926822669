#pragma once

#include <godwit/placement/event_gaps.hpp>

#include <cstdint>

namespace godwit::placement {

/// What work asks of a backend server; sums of it are a server's load.
struct work_size
{
    std::uint32_t requests = 0;
    /// Memory, in tokens, that the requests will have at their ends.
    std::uint64_t tokens = 0;
    /// Prompt tokens that are still to be read.
    std::uint64_t unread_tokens = 0;
    /// Memory that is still to come over the server's link, of `tokens`.
    std::uint64_t arriving_tokens = 0;
    event_gaps gaps = {}; ///< Of the requests that write.

    work_size& operator+=(const work_size& more) noexcept;
    work_size& operator-=(const work_size& less) noexcept;

    friend bool operator==(const work_size&, const work_size&) = default;
};

} // namespace godwit::placement
