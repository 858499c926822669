#include <godwit/placement/zone_rebalancer.hpp>

namespace godwit::placement {

bool zone_rebalancer::is_due(const remote_run& run, core::time_point now) const
{
    if (run.last_departure && now < *run.last_departure + departure_cooldown)
        return false;
    return may_attempt(run.server.zone, now) &&
           run.remaining_tokens >= min_remaining_tokens;
}

placement_request zone_rebalancer::make_request(
    const routing::service& service, const work_size& work) const
{
    placement_request request;
    request.service = &service;
    request.work = work;
    request.purpose = placement_purpose::rebalance;
    request.preferred_zone = zone_;
    request.requires_preferred_zone = true;
    return request;
}

} // namespace godwit::placement
