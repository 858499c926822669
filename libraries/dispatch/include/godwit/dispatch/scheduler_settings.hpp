#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>

namespace godwit::dispatch {

/// What does not change while a scheduler lives.
struct scheduler_settings
{
    /// The entry host's own availability zone.
    core::zone_name zone;
    /// Seed of the choice of candidates.
    std::uint64_t seed = 1;
    /// Random candidates for a placement, 1 to 64.
    std::uint32_t candidates = 2;
    /// Quantile of the expected rest of a generation that admission reserves,
    /// above 0 and below 1.
    double length_quantile = 0.4;

    friend bool
    operator==(const scheduler_settings&, const scheduler_settings&) = default;
};

} // namespace godwit::dispatch
