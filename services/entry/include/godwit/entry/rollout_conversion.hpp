#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/load_ledger.hpp>
#include <godwit/rollout/response_counts.hpp>
#include <godwit/rollout/rollout_order.hpp>
#include <godwit/wire/rollout_reports.hpp>

#include <vector>

namespace godwit::entry {

[[nodiscard]] wire::rollout_reports to_wire(
    const std::vector<rollout::rollout_status>& statuses, core::time_point now);

/// Converts the rollouts in a message of another host, except those without a
/// service or a target.
[[nodiscard]] std::vector<rollout::rollout_status>
from_wire(const wire::rollout_reports& message, core::time_point now);

/// `cell` is empty for the counts of one host.
[[nodiscard]] wire::rollout_responses to_wire(
    const rollout::rollout_order& order,
    const placement::host_group& cell,
    const rollout::stratified_counts& counts);

[[nodiscard]] rollout::stratified_counts
from_wire(const wire::rollout_responses& message);

} // namespace godwit::entry
