#pragma once

#include <godwit/core/time.hpp>
#include <godwit/replay/engine_shape.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace godwit::replay {

/// An engine that joins the fleet at a given moment.
struct joining_engine
{
    std::size_t zone = 0;
    core::time_point joins{};

    friend bool
    operator==(const joining_engine&, const joining_engine&) = default;
};

/// The hosts and engines of a replay.
struct fleet_shape
{
    std::vector<std::size_t> host_zones; ///< One zone for each host.
    std::vector<joining_engine> engines;
    engine_shape engine;
    std::vector<slow_spell> slow_spells;
    /// Until a host hears what another one sent to an engine.
    core::duration word_delay = std::chrono::milliseconds(2);
    std::uint64_t seed = 1;

    friend bool operator==(const fleet_shape&, const fleet_shape&) = default;
};

} // namespace godwit::replay
