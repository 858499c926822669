#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/load_ledger.hpp>
#include <godwit/placement/server_directory.hpp>
#include <godwit/placement/zone_evacuations.hpp>
#include <godwit/rollout/rollouts.hpp>

#include <cstdint>

namespace godwit::rollout {

/// The usable servers of both versions of a rollout.
struct version_capacity
{
    /// The smallest number of slots of the target version that may replace
    /// those of the former one, as a part of them.
    static constexpr double min_ratio = 0.8;

    std::uint64_t target_slots = 0;
    std::uint64_t former_slots = 0;
    std::uint64_t former_requests = 0; ///< Running at the former version.

    /// Whether the target can take over the requests of the former version.
    [[nodiscard]] bool is_target_sufficient() const noexcept;

    [[nodiscard]] bool is_former_idle() const noexcept
    {
        return former_requests == 0;
    }

    friend bool
    operator==(const version_capacity&, const version_capacity&) = default;
};

/// Returns the capacity of the versions of the rollout. Servers of versions
/// that get no requests do not count, and those in evacuated availability zones
/// have no slots.
[[nodiscard]] version_capacity capacity_of(
    const rollouts& known,
    const rollout_order& order,
    const placement::server_directory& directory,
    const placement::load_ledger& ledger,
    const placement::zone_evacuations& evacuations,
    core::time_point now);

} // namespace godwit::rollout
