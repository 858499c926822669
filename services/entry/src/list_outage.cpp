#include <godwit/entry/list_outage.hpp>

namespace godwit::entry {

void list_outage::set_current(bool is_current, core::time_point now)
{
    if (is_current == is_current_)
        return;
    is_current_ = is_current;
    if (!is_current) {
        lost_at_ = now;
        others_served_at_.reset();
        return;
    }
    const bool others_were_served =
        others_served_at_ && *others_served_at_ + return_notice <= now;
    if (lost_at_ && !others_were_served)
        disturbed_until_ = now + disturbed_time;
}

void list_outage::restored(core::time_point now)
{
    disturbed_until_ = now + disturbed_time;
}

void list_outage::neighbour_reads(core::time_point now)
{
    const bool proves = !is_current_ && lost_at_ && !others_served_at_ &&
                        now - *lost_at_ >= loss_notice;
    if (proves)
        others_served_at_ = now;
}

placement::source_state list_outage::source(core::time_point now) const
{
    const bool is_steady = is_current_ && now >= disturbed_until_;
    return is_steady ? placement::source_state::steady
                     : placement::source_state::recovering;
}

} // namespace godwit::entry
