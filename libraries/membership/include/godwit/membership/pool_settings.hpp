#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>

namespace godwit::membership {

/// The limits of membership. Spans and counts are above zero.
struct pool_settings
{
    core::host_name host; ///< This entry host; chooses its subset.
    core::zone_name zone; ///< This entry host's availability zone.
    /// Failures in a row after which a server is ejected. A refused
    /// connection ejects at once.
    std::size_t failure_limit = 3;
    core::duration ejection_base = std::chrono::seconds(1);
    core::duration ejection_limit = std::chrono::seconds(60);
    core::duration probe_interval = std::chrono::seconds(1);
    /// How long a leaving server stays so whatever a late host list says.
    core::duration leaving_hold = std::chrono::seconds(60);
    /// How long an unlisted server is remembered.
    core::duration forget_after = std::chrono::minutes(10);
    /// The most backend servers of one service that this host uses.
    std::size_t subset_limit = 32;
    /// The most backend servers known; more are not taken in.
    std::size_t server_limit = 4096;

    friend bool
    operator==(const pool_settings&, const pool_settings&) = default;
};

} // namespace godwit::membership
