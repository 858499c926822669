#pragma once

#include <godwit/core/time.hpp>
#include <godwit/replay/fleet_shape.hpp>
#include <godwit/replay/generation_fate.hpp>
#include <godwit/replay/generation_order.hpp>

#include <vector>

namespace godwit::replay {

/// Plays the orders on the fleet until `end`: what became of each, in their
/// order. The same arguments give the same result.
[[nodiscard]] std::vector<generation_fate> replay_fleet(
    const fleet_shape& fleet,
    const std::vector<generation_order>& orders,
    core::time_point end);

} // namespace godwit::replay
