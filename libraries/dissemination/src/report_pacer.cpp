#include <godwit/dissemination/report_pacer.hpp>

#include <algorithm>

namespace godwit::dissemination {

bool report_pacer::may_send(core::time_point now) const
{
    return !sent_at_ || now >= paid_at_ || now - *sent_at_ >= max_wait;
}

void report_pacer::record_sent(
    std::size_t bytes, double bytes_per_second, core::time_point now)
{
    sent_at_ = now;
    if (bytes_per_second <= 0) {
        paid_at_ = now;
        return;
    }
    const std::chrono::duration<double> cost(
        static_cast<double>(bytes) / bytes_per_second);
    // Longer debts than the longest wait would have no effect.
    const auto longest = std::chrono::duration<double>(max_wait);
    paid_at_ =
        std::max(paid_at_, now - burst) +
        std::chrono::duration_cast<core::duration>(std::min(cost, longest));
}

} // namespace godwit::dissemination
