#include "host_observations.hpp"

namespace godwit::replay {

void host_observations::update_from_neighbour(
    const core::host_name& host,
    const host_observations& reported,
    core::time_point now)
{
    for (const auto& [route, estimator] : reported.lengths)
        lengths[route].update_from_neighbour(host, estimator.own(now), now);
    speeds.update_from_neighbour(host, reported.speeds.own(now), now);
}

} // namespace godwit::replay
