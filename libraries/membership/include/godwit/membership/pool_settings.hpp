#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::membership {

/// Settings of membership. Durations and counts are above zero.
struct pool_settings
{
    core::host_name host; ///< This entry host; determines its subset.
    core::zone_name zone; ///< This entry host's availability zone.
    /// Consecutive failures after which a server is ejected. A refused
    /// connection ejects it at once.
    std::size_t failure_limit = 3;
    core::duration ejection_base = std::chrono::seconds(1);
    core::duration ejection_limit = std::chrono::seconds(60);
    core::duration probe_interval = std::chrono::seconds(1);
    /// Minimum time for which a server stays `leaving`, even if a delayed host
    /// list shows it as live.
    core::duration leaving_hold = std::chrono::seconds(60);
    /// Time after which a server that is no longer listed is forgotten.
    core::duration forget_after = std::chrono::minutes(10);
    /// Most backend servers of one service that this host uses.
    std::size_t subset_limit = 32;
    /// Most backend servers that are tracked; further ones are ignored.
    std::size_t server_limit = 4096;

    friend bool
    operator==(const pool_settings&, const pool_settings&) = default;
};

} // namespace godwit::membership
