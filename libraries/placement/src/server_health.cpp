#include <godwit/placement/server_health.hpp>

#include <algorithm>

namespace godwit::placement {

void server_health::succeeded(const server_id& server)
{
    const auto found = records_.find(server);
    if (found == records_.end())
        return;
    record& known = found->second;
    known.unreachable_in_a_row = 0;
    known.avoided_until = {};
    known.failed_share *= 1.0 - smoothing_factor;
}

void server_health::failed(const server_id& server)
{
    record& known = records_[server];
    known.unreachable_in_a_row = 0;
    known.failed_share =
        known.failed_share * (1.0 - smoothing_factor) + smoothing_factor;
}

void server_health::unreachable(const server_id& server, core::time_point now)
{
    record& known = records_[server];
    constexpr unsigned most_doublings = 3;
    const unsigned doublings =
        std::min(known.unreachable_in_a_row, most_doublings);
    ++known.unreachable_in_a_row;
    known.avoided_until =
        now + std::min<core::duration>(
                  first_pause * (1U << doublings), longest_pause);
}

void server_health::full(const server_id& server, core::time_point now)
{
    record& known = records_[server];
    known.full_until = now + full_pause;
}

bool server_health::is_full(const server_id& server, core::time_point now) const
{
    const auto found = records_.find(server);
    return found != records_.end() && now < found->second.full_until;
}

bool server_health::is_avoided(
    const server_id& server, core::time_point now) const
{
    const auto found = records_.find(server);
    return found != records_.end() &&
           now <
               std::max(found->second.avoided_until, found->second.full_until);
}

double server_health::failed_share(const server_id& server) const
{
    const auto found = records_.find(server);
    return found == records_.end() ? 0.0 : found->second.failed_share;
}

void server_health::forget(const server_id& server)
{
    records_.erase(server);
}

} // namespace godwit::placement
