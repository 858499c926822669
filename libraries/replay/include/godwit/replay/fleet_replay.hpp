#pragma once

#include <godwit/core/time.hpp>
#include <godwit/replay/fleet_config.hpp>
#include <godwit/replay/generation_outcome.hpp>
#include <godwit/replay/generation_request.hpp>
#include <godwit/replay/replay_report.hpp>

#include <vector>

namespace godwit::replay {

/// Simulates the requests on the fleet until `end` and returns their outcomes
/// in the same order. The result is deterministic.
[[nodiscard]] std::vector<generation_outcome> replay_fleet(
    const fleet_config& fleet,
    const std::vector<generation_request>& requests,
    core::time_point end);

/// Does the same and also measures how much memory the engines used.
[[nodiscard]] replay_report replay_fleet_with_usage(
    const fleet_config& fleet,
    const std::vector<generation_request>& requests,
    core::time_point end);

} // namespace godwit::replay
