#pragma once

#include <godwit/admission/engine_speed_estimator.hpp>
#include <godwit/admission/length_estimator.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <cstddef>
#include <map>

namespace godwit::replay {

/// The output lengths and engine speeds that a simulated host observes.
struct host_observations
{
    std::map<std::size_t, admission::length_estimator> lengths; ///< By route.
    admission::engine_speed_estimator speeds;

    void update_from_neighbour(
        const core::host_name& host,
        const host_observations& reported,
        core::time_point now);
};

} // namespace godwit::replay
