#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/dispatch/cache_action.hpp>

#include <cstdint>

namespace godwit::dispatch {

/// One cache event of an engine. Sequence numbers may have gaps.
struct cache_changed
{
    /// The engine.
    core::server_address server;
    /// The event's number at the engine.
    std::uint64_t sequence = 0;
    /// Hash of the prefix.
    std::uint64_t prefix_hash = 0;
    /// What happened.
    cache_action action = cache_action::stored;

    friend bool
    operator==(const cache_changed&, const cache_changed&) = default;
};

} // namespace godwit::dispatch
