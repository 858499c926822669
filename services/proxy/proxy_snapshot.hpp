#pragma once

#include <godwit/catalogue/state.hpp>

#include <cstdint>

namespace godwit::proxy {

/// What the traffic threads know of the control state. Immutable; a change
/// makes a new one.
struct proxy_snapshot
{
    /// The catalogue in force; null before the first.
    catalogue::state_pointer catalogue;
    /// Its offset as operators know it: records folded.
    std::uint64_t catalogue_offset = 0;

    friend bool
    operator==(const proxy_snapshot&, const proxy_snapshot&) = default;
};

} // namespace godwit::proxy
