#pragma once

#include <cstdint>

namespace godwit::fakes {

/// What happened to a prefix in an engine's cache.
enum class cache_action
{
    stored,
    evicted,
};

/// One published event; numbers are missing where events were lost.
struct cache_event
{
    std::uint64_t sequence = 0;
    std::uint64_t prefix_hash = 0;
    cache_action action = cache_action::stored;

    friend bool operator==(const cache_event&, const cache_event&) = default;
};

} // namespace godwit::fakes
