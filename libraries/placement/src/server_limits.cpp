#include <godwit/placement/server_limits.hpp>

#include <godwit/placement/fleet_share.hpp>

#include <algorithm>
#include <utility>

namespace godwit::placement {

void server_limits::set_hosts(std::size_t linked, std::size_t fleet_size)
{
    share_ = fleet_share(linked, fleet_size);
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
        buckets_.emplace(limit.server, new_bucket(limit));
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
    if (is_changed && current.per_second && limit.per_second)
        known->second.tokens.discard_savings(
            bucket_limits(known->second), limit.answered_at);
    if (is_changed && limit.per_second && !current.per_second)
        known->second = new_bucket(limit);
    // A lifted limit is kept, so that older messages do not restore it.
    current = limit;
    return is_changed;
}

server_limits::bucket server_limits::new_bucket(const server_limit& limit)
{
    return {limit, token_bucket::create(0, limit.answered_at)};
}

token_bucket::limits server_limits::bucket_limits(const bucket& found) const
{
    const double rate =
        std::max(*found.limit.per_second, min_per_second) * share_;
    const double saved = rate * std::chrono::duration<double>(burst).count();
    return {rate, std::max(saved, 1.0)};
}

bool server_limits::record_requests(
    const server_id& server, unsigned requests, core::time_point now)
{
    const auto found = buckets_.find(server);
    if (found == buckets_.end() || !found->second.limit.per_second)
        return false;
    found->second.tokens.take(requests, bucket_limits(found->second), now);
    return true;
}

core::duration
server_limits::wait_time(const server_id& server, core::time_point now) const
{
    const auto found = buckets_.find(server);
    if (found == buckets_.end() || !found->second.limit.per_second)
        return core::duration::zero();
    return found->second.tokens.wait_time(bucket_limits(found->second), now);
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
