#include <godwit/entry/server_list_outage.hpp>

#include <algorithm>

namespace godwit::entry {

void server_list_outage::set_current(bool is_current, core::time_point now)
{
    if (is_current == is_current_)
        return;
    is_current_ = is_current;
    if (!is_current) {
        lost_at_ = now;
        others_served_since_.reset();
        return;
    }
    const bool others_were_served =
        others_served_since_ &&
        *others_served_since_ + recovery_detection_skew <= now;
    if (lost_at_ && !others_were_served)
        recovering_until_ = end_of_recovery(now);
}

// The source may have recovered at any time since the last read that failed
// began. Live servers are listed again within a recovery period, and what is
// dropped after the stability time was dropped because its server leaves.
core::time_point
server_list_outage::end_of_recovery(core::time_point recovered_at) const
{
    const core::time_point latest = recovered_at + recovery_period;
    if (!failed_read_began_at_)
        return latest;
    return std::clamp(
        *failed_read_began_at_ + stability_time,
        recovered_at + min_recovery_period,
        latest);
}

void server_list_outage::record_restore(core::time_point now)
{
    recovering_until_ = now + recovery_period;
}

void server_list_outage::record_neighbour_read(core::time_point now)
{
    const bool proves = !is_current_ && lost_at_ && !others_served_since_ &&
                        now - *lost_at_ >= loss_detection_time;
    if (proves)
        others_served_since_ = now;
}

placement::source_state server_list_outage::state_at(core::time_point now) const
{
    const bool is_steady = is_current_ && now >= recovering_until_;
    return is_steady ? placement::source_state::steady
                     : placement::source_state::recovering;
}

} // namespace godwit::entry
