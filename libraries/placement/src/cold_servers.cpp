#include <godwit/placement/cold_servers.hpp>

#include <godwit/core/hash.hpp>
#include <godwit/core/random.hpp>
#include <godwit/placement/fleet_share.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace godwit::placement {

namespace {

// Keeps the conversion of a malformed rate within the range of the type.
constexpr double max_slot_allowance = 1e6;

std::int64_t slot_number(core::time_point at)
{
    return at.time_since_epoch() / cold_servers::slot;
}

} // namespace

// The slots of hosts with similar seeds must not be related.
cold_servers::cold_servers(std::uint64_t seed)
    : seed_(core::random(seed).next())
{}

void cold_servers::set_hosts(std::size_t linked, std::size_t fleet_size)
{
    share_ = fleet_share(linked, fleet_size);
    fleet_size_ = std::max<std::size_t>({linked, fleet_size, 1});
}

bool cold_servers::record(
    const server_id& server,
    const routing::warm_up_profile& profile,
    core::duration remaining,
    core::time_point now)
{
    const core::time_point warm_at = now + remaining;
    entry* known = find_cold(server, now);
    if (known == nullptr) {
        if (remaining <= core::duration::zero())
            return false;
        // The first requests of hosts that cannot reach each other are spread
        // over the time in which each of them may send one.
        core::random host_random(core::stable_hash(server.value(), seed_));
        servers_.insert_or_assign(
            server,
            entry{
                warm_at,
                profile.requests_per_second,
                token_bucket::create(host_random.unit(), now)});
        return remaining >= min_extension;
    }
    known->per_second = profile.requests_per_second;
    const bool is_news = warm_at - known->warm_at >= min_extension;
    known->warm_at = std::max(known->warm_at, warm_at);
    return is_news;
}

token_bucket::limits cold_servers::bucket_limits(const entry& found) const
{
    const double rate = used_rate_share * found.per_second * share_;
    const double saved = rate * std::chrono::duration<double>(burst).count();
    return {rate, std::max(saved, 1.0)};
}

const cold_servers::entry*
cold_servers::find_cold(const server_id& server, core::time_point now) const
{
    const auto found = servers_.find(server);
    const bool is_cold = found != servers_.end() && now < found->second.warm_at;
    return is_cold ? &found->second : nullptr;
}

cold_servers::entry*
cold_servers::find_cold(const server_id& server, core::time_point now)
{
    const auto found = servers_.find(server);
    const bool is_cold = found != servers_.end() && now < found->second.warm_at;
    return is_cold ? &found->second : nullptr;
}

unsigned cold_servers::slot_allowance(
    const server_id& server, const entry& found, std::int64_t number) const
{
    const bool is_cell_large = found.per_second * share_ >= min_cell_rate;
    const double share = is_cell_large
                             ? slot_rate_share
                             : std::chrono::duration<double>(slot).count();
    const double expected =
        share * found.per_second / static_cast<double>(fleet_size_);
    const double whole = std::min(std::floor(expected), max_slot_allowance);
    core::random slot_random(core::stable_hash(
        server.value(), seed_ ^ static_cast<std::uint64_t>(number)));
    const bool has_one_more = slot_random.unit() < expected - whole;
    return static_cast<unsigned>(whole) + (has_one_more ? 1 : 0);
}

bool cold_servers::is_slot_free(
    const server_id& server, const entry& found, std::int64_t number) const
{
    const unsigned used = found.used_slot == number ? found.used_in_slot : 0;
    return used < slot_allowance(server, found, number);
}

void cold_servers::record_requests(
    const server_id& server, unsigned requests, core::time_point now)
{
    if (entry* found = find_cold(server, now))
        found->tokens.take(requests, bucket_limits(*found), now);
}

bool cold_servers::record_own_request(
    const server_id& server, core::time_point now)
{
    entry* found = find_cold(server, now);
    if (found == nullptr)
        return false;
    found->tokens.take(1, bucket_limits(*found), now);
    const std::int64_t number = slot_number(now);
    if (std::exchange(found->used_slot, number) != number)
        found->used_in_slot = 0;
    ++found->used_in_slot;
    return true;
}

bool cold_servers::may_send(const server_id& server, core::time_point now) const
{
    const entry* found = find_cold(server, now);
    return found == nullptr ||
           (found->tokens.wait_time(bucket_limits(*found), now) ==
                core::duration::zero() &&
            is_slot_free(server, *found, slot_number(now)));
}

core::duration
cold_servers::wait_time(const server_id& server, core::time_point now) const
{
    if (may_send(server, now))
        return core::duration::zero();
    const entry& found = *find_cold(server, now);
    core::time_point at =
        now + found.tokens.wait_time(bucket_limits(found), now);
    while (at < found.warm_at && !is_slot_free(server, found, slot_number(at)))
        at = core::time_point(slot * (slot_number(at) + 1));
    return std::min(at, found.warm_at) - now;
}

core::duration
cold_servers::remaining(const server_id& server, core::time_point now) const
{
    const entry* found = find_cold(server, now);
    return found == nullptr ? core::duration::zero() : found->warm_at - now;
}

void cold_servers::expire(core::time_point now)
{
    std::erase_if(servers_, [now](const auto& each) {
        return each.second.warm_at <= now;
    });
}

void cold_servers::forget(const server_id& server)
{
    servers_.erase(server);
}

} // namespace godwit::placement
