#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/orders/engine_order.hpp>
#include <godwit/orders/engine_state.hpp>

#include <cstdint>
#include <optional>

namespace godwit::orders {

/// What is going on with one engine of a pool whose lease is held. One
/// request at a time, so that what was read is newer than what was ordered.
struct engine_work
{
    /// The request under way; 0: none.
    std::uint64_t request = 0;
    bool request_is_order = false;
    core::time_point requested_at;

    /// The last state read under this lease.
    std::optional<engine_state> observed;

    /// When it was read or could not be; nothing: to be read at once,
    /// because an order may have changed it.
    std::optional<core::time_point> read_at;

    /// The order whose effect was not seen yet.
    std::optional<engine_order> pending;
    core::time_point ordered_at;

    /// Whether the engine was made to know this lease's fencing number.
    bool fenced = false;
};

} // namespace godwit::orders
