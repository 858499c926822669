#pragma once

#include <godwit/core/time.hpp>
#include <godwit/replay/fleet_config.hpp>
#include <godwit/replay/generation_outcome.hpp>
#include <godwit/replay/generation_request.hpp>

#include <vector>

namespace godwit::replay {

/// Plays the orders on the fleet until `end`: what became of each, in their
/// order. The same arguments give the same result.
[[nodiscard]] std::vector<generation_outcome> replay_fleet(
    const fleet_config& fleet,
    const std::vector<generation_request>& orders,
    core::time_point end);

} // namespace godwit::replay
