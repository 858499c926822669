#include <godwit/placement/homecoming.hpp>

namespace godwit::placement {

bool homecoming::is_due(const distant_run& run, core::time_point now) const
{
    if (run.last_departure && now < *run.last_departure + quiet_span)
        return false;
    return run.server.zone != home_ && run.tokens_left >= least_tokens_left &&
           now >= next_look_;
}

placement_request
homecoming::wanted(const routing::service& service, const work_size& work) const
{
    placement_request request;
    request.service = &service;
    request.work = work;
    request.purpose = placement_purpose::homecoming;
    request.near = home_;
    request.is_near_only = true;
    return request;
}

} // namespace godwit::placement
