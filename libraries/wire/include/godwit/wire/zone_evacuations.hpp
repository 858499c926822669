#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <vector>

namespace godwit::wire {

/// Whether an availability zone is evacuated, and the change at the source that
/// led to this.
struct zone_evacuation
{
    core::zone_name zone;
    bool evacuated = false;
    std::uint64_t epoch = 0;    ///< Of the source.
    std::uint64_t sequence = 0; ///< Of the change, within the epoch.

    friend bool
    operator==(const zone_evacuation&, const zone_evacuation&) = default;
};

/// Evacuations of availability zones that began or ended.
struct zone_evacuations
{
    std::vector<zone_evacuation> zones;

    friend bool
    operator==(const zone_evacuations&, const zone_evacuations&) = default;
};

} // namespace godwit::wire
