#pragma once

#include <godwit/placement/event_gaps.hpp>

#include <cstdint>

namespace godwit::placement {

/// The resources that requests need of a backend server. The sum over all
/// requests is the server's load.
struct work_size
{
    std::uint32_t requests = 0;
    /// KV cache memory planned for the requests, in tokens.
    std::uint64_t tokens = 0;
    /// Prompt tokens that are still to be prefilled.
    std::uint64_t unread_tokens = 0;
    /// The part of `tokens` that is still being copied to the server over its
    /// network link.
    std::uint64_t arriving_tokens = 0;
    event_gaps gaps = {}; ///< The event gaps of the streams that are decoding.

    work_size& operator+=(const work_size& more) noexcept;
    work_size& operator-=(const work_size& less) noexcept;

    friend bool operator==(const work_size&, const work_size&) = default;
};

} // namespace godwit::placement
