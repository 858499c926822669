#include <godwit/placement/event_gap_tracker.hpp>

#include <algorithm>
#include <cmath>

namespace godwit::placement {

void event_gap_tracker::record_events(
    std::uint64_t events, core::time_point now)
{
    if (events == 0)
        return;
    const auto before = last_event_at_;
    last_event_at_ = now;
    if (!before)
        return;
    const core::duration gap = std::min(now - *before, max_gap);
    const double gap_ms =
        std::chrono::duration<double, std::milli>(gap).count() /
        static_cast<double>(events);
    gap_ms_ =
        gap_ms_ ? *gap_ms_ + smoothing_factor * (gap_ms - *gap_ms_) : gap_ms;
}

event_gaps event_gap_tracker::gaps() const
{
    if (!gap_ms_)
        return {};
    return {1, static_cast<std::uint32_t>(std::lround(*gap_ms_))};
}

} // namespace godwit::placement
