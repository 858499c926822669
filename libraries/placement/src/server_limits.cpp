#include <godwit/placement/server_limits.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace godwit::placement {

namespace {

double seconds(core::duration time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

void server_limits::set_hosts(std::size_t linked, std::size_t fleet_size)
{
    const std::size_t all = std::max<std::size_t>({linked, fleet_size, 1});
    share_ = static_cast<double>(std::max<std::size_t>(linked, 1)) /
             static_cast<double>(all);
}

std::optional<server_limit> server_limits::update_from_answer(
    const server_limit& answer, core::time_point sent_at)
{
    const auto known = buckets_.find(answer.server);
    if (!answer.per_second) {
        // Answers may arrive out of order: one to a request that was sent
        // before the limit was known does not lift it.
        const bool is_lifted = known != buckets_.end() &&
                               known->second.limit.per_second &&
                               sent_at > known->second.limit.answered_at;
        if (!is_lifted)
            return std::nullopt;
    }
    if (!update(answer))
        return std::nullopt;
    return answer;
}

bool server_limits::update_from_neighbour(const server_limit& received)
{
    return update(received);
}

bool server_limits::update(const server_limit& limit)
{
    const auto known = buckets_.find(limit.server);
    if (known == buckets_.end()) {
        if (!limit.per_second)
            return false;
        buckets_.emplace(limit.server, bucket{limit, 0, limit.answered_at});
        return true;
    }
    server_limit& current = known->second.limit;
    const bool is_older = limit.start < current.start ||
                          (limit.start == current.start &&
                           limit.answered_at <= current.answered_at);
    if (is_older)
        return false;
    const bool is_changed =
        current.per_second != limit.per_second || current.start != limit.start;
    if (is_changed && current.per_second && limit.per_second) {
        known->second.tokens =
            std::min(tokens(known->second, limit.answered_at), 0.0);
        known->second.refilled_at =
            std::max(known->second.refilled_at, limit.answered_at);
    }
    if (is_changed && limit.per_second && !current.per_second)
        known->second = bucket{limit, 0, limit.answered_at};
    // A lifted limit is kept, so that older messages do not restore it.
    current = limit;
    return is_changed;
}

double server_limits::rate(const bucket& found) const
{
    return std::max(*found.limit.per_second, min_per_second) * share_;
}

double server_limits::tokens(const bucket& found, core::time_point now) const
{
    const double capacity = std::max(rate(found) * seconds(burst), 1.0);
    const double refill =
        seconds(std::max(now - found.refilled_at, core::duration())) *
        rate(found);
    return std::min(found.tokens + refill, capacity);
}

bool server_limits::record_requests(
    const server_id& server, unsigned requests, core::time_point now)
{
    const auto found = buckets_.find(server);
    if (found == buckets_.end() || !found->second.limit.per_second)
        return false;
    bucket& limited = found->second;
    limited.tokens = tokens(limited, now) - static_cast<double>(requests);
    limited.refilled_at = std::max(limited.refilled_at, now);
    return true;
}

core::duration
server_limits::wait_time(const server_id& server, core::time_point now) const
{
    const auto found = buckets_.find(server);
    if (found == buckets_.end() || !found->second.limit.per_second)
        return core::duration::zero();
    const double missing = 1.0 - tokens(found->second, now);
    // Allows for rounding errors of the refill.
    constexpr double tolerance = 1e-6;
    if (missing <= tolerance)
        return core::duration::zero();
    return std::chrono::ceil<core::duration>(
        std::chrono::duration<double>(missing / rate(found->second)));
}

const server_limit* server_limits::find(const server_id& server) const
{
    const auto found = buckets_.find(server);
    return found == buckets_.end() ? nullptr : &found->second.limit;
}

bool server_limits::is_limited(const server_id& server) const
{
    const server_limit* limit = find(server);
    return limit != nullptr && limit->per_second;
}

void server_limits::forget(const server_id& server)
{
    buckets_.erase(server);
}

std::vector<server_limit> server_limits::limits() const
{
    std::vector<server_limit> all;
    all.reserve(buckets_.size());
    for (const auto& [server, limited] : buckets_) {
        if (limited.limit.per_second)
            all.push_back(limited.limit);
    }
    return all;
}

} // namespace godwit::placement
