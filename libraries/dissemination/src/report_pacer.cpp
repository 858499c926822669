#include <godwit/dissemination/report_pacer.hpp>

#include <algorithm>

namespace godwit::dissemination {

bool report_pacer::may_send(core::time_point now) const
{
    return !sent_at_ || now >= available_at_ || now - *sent_at_ >= max_wait;
}

void report_pacer::record_sent(
    std::size_t bytes, double bytes_per_second, core::time_point now)
{
    sent_at_ = now;
    if (bytes_per_second <= 0) {
        available_at_ = now;
        return;
    }
    const std::chrono::duration<double> sending_time(
        static_cast<double>(bytes) / bytes_per_second);
    // A later time than after the longest wait would have no effect.
    const auto longest = std::chrono::duration<double>(max_wait);
    available_at_ = std::max(available_at_, now - burst) +
                    std::chrono::duration_cast<core::duration>(
                        std::min(sending_time, longest));
}

} // namespace godwit::dissemination
