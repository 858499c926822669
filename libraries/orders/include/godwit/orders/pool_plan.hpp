#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/orders/engine_order.hpp>
#include <godwit/orders/engine_state.hpp>
#include <godwit/orders/pool.hpp>

#include <cstddef>
#include <optional>
#include <vector>

namespace godwit::orders {

/// One engine as the planner sees it.
struct engine_view
{
    core::server_address address;

    /// What it reported since the last order to it; nothing if it did not.
    std::optional<engine_state> observed;

    /// An order to it is under way or has not shown its effect yet.
    bool busy = false;

    friend bool operator==(const engine_view&, const engine_view&) = default;
};

/// An order that brings an engine closer to the pool's targets.
struct planned_order
{
    core::server_address address;
    engine_order order;

    /// Whether the engine fetches from the weight store for it.
    bool fetches_weights = false;

    friend bool
    operator==(const planned_order&, const planned_order&) = default;
};

/// What is to be done in a pool now.
struct pool_plan
{
    std::vector<planned_order> orders;

    /// Every target has its engines, and no engine holds anything else.
    bool reached = false;

    /// Engines that the targets want and the pool does not have.
    std::size_t missing_engines = 0;

    /// Orders held back because nothing else serves what they would remove.
    std::size_t held_back = 0;

    friend bool operator==(const pool_plan&, const pool_plan&) = default;
};

/// Works out at most one order for each engine that is not busy. Engines
/// keep to the target that they are closest to. An order that takes away the
/// last engine that serves what requests are routed to waits until
/// another engine reports the replacement; at most `disrupted_limit` engines
/// change at one time.
[[nodiscard]] pool_plan plan_pool(
    const pool& wanted,
    std::vector<engine_view> engines,
    std::size_t disrupted_limit);

} // namespace godwit::orders
