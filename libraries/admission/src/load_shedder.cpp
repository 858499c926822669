#include <godwit/admission/load_shedder.hpp>

namespace godwit::admission {

bool load_shedder::update(const host_demand& demand, core::time_point now)
{
    const bool is_skewed = demand.requests_elsewhere &&
                           static_cast<double>(demand.requests) >
                               skew_factor * *demand.requests_elsewhere;
    const double bound = is_shedding_ ? recovered_use : shedding_use;
    const bool sheds = is_skewed && demand.link_use >= bound;
    if (sheds == is_shedding_)
        return false;
    is_shedding_ = sheds;
    if (!sheds)
        ended_at_ = now;
    return true;
}

bool load_shedder::is_ready(core::time_point now) const
{
    return !is_shedding_ && (!ended_at_ || now - *ended_at_ >= ready_delay);
}

} // namespace godwit::admission
