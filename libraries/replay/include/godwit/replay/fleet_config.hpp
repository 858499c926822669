#pragma once

#include <godwit/core/time.hpp>
#include <godwit/replay/engine_config.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace godwit::replay {

/// An engine that joins the fleet at a given time.
struct joining_engine
{
    std::size_t zone = 0;
    core::time_point join_time{};

    friend bool
    operator==(const joining_engine&, const joining_engine&) = default;
};

/// The hosts and engines of a simulated fleet.
struct fleet_config
{
    std::vector<std::size_t> host_zones; ///< One zone for each host.
    std::vector<joining_engine> engines;
    engine_config engine;
    std::vector<slowdown> slowdowns;
    /// Time until a host receives another host's load report.
    core::duration report_delay = std::chrono::milliseconds(2);
    std::uint64_t seed = 1;
    /// Whether hosts observe output lengths and engine speeds.
    bool learns_lengths = false;

    friend bool operator==(const fleet_config&, const fleet_config&) = default;
};

} // namespace godwit::replay
