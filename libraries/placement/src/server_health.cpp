#include <godwit/placement/server_health.hpp>

#include <algorithm>

namespace godwit::placement {

void server_health::record_success(const server_id& server)
{
    const auto found = records_.find(server);
    if (found == records_.end())
        return;
    record& known = found->second;
    known.consecutive_unreachable = 0;
    known.avoided_until = {};
    known.failure_rate *= 1.0 - smoothing_factor;
}

void server_health::record_failure(const server_id& server)
{
    record& known = records_[server];
    known.consecutive_unreachable = 0;
    known.failure_rate =
        known.failure_rate * (1.0 - smoothing_factor) + smoothing_factor;
}

void server_health::record_unreachable(
    const server_id& server, core::time_point now)
{
    record& known = records_[server];
    constexpr unsigned max_doublings = 3;
    const unsigned doublings =
        std::min(known.consecutive_unreachable, max_doublings);
    ++known.consecutive_unreachable;
    known.avoided_until =
        now + std::min<core::duration>(
                  initial_backoff * (1U << doublings), max_backoff);
}

void server_health::record_full(const server_id& server, core::time_point now)
{
    record& known = records_[server];
    known.full_until = now + full_backoff;
}

bool server_health::is_full(const server_id& server, core::time_point now) const
{
    const auto found = records_.find(server);
    return found != records_.end() && now < found->second.full_until;
}

void server_health::record_requested_backoff(
    const server_id& server, core::duration backoff, core::time_point now)
{
    std::erase_if(requested_backoffs_, [now](const auto& each) {
        return each.second <= now;
    });
    if (backoff <= core::duration::zero())
        return;
    core::time_point& end = requested_backoffs_[server];
    end = std::max(end, now + std::min(backoff, max_requested_backoff));
}

core::duration server_health::requested_backoff_left(
    const server_id& server, core::time_point now) const
{
    const auto found = requested_backoffs_.find(server);
    if (found == requested_backoffs_.end())
        return core::duration::zero();
    return std::max(found->second - now, core::duration::zero());
}

bool server_health::is_avoided(
    const server_id& server, core::time_point now) const
{
    const auto found = records_.find(server);
    return found != records_.end() &&
           now <
               std::max(found->second.avoided_until, found->second.full_until);
}

double server_health::failure_rate(const server_id& server) const
{
    const auto found = records_.find(server);
    return found == records_.end() ? 0.0 : found->second.failure_rate;
}

void server_health::forget(const server_id& server)
{
    records_.erase(server);
}

} // namespace godwit::placement
