#include <godwit/placement/placer.hpp>

#include <godwit/core/hash.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

namespace godwit::placement {

namespace {

// The largest and the smallest share of a server's memory that starts may use.
// The rest is reserved for generations that are migrated from draining servers.
constexpr double start_memory_share = 0.95;
constexpr double min_start_memory_share = 0.8;
// Short generations may use the reserve as well, since they free their memory
// before it is needed.
constexpr double short_start_memory_share = 1.0;
// Late starts get memory that no timely request needs: where memory is short,
// each of them would make another request late.
constexpr double late_start_memory_share = 0.5;
// Migrations may fill the memory of a server; beyond it the engine preempts
// generations.
constexpr double migration_memory_share = 1.05;
// Rebalancing is optional, and memory that it uses is not available for starts,
// so that it needs a server with much free memory.
constexpr double rebalance_memory_share = 0.75;
// Costs have no unit: 1 is the cost of a server whose KV cache memory is full
// with planned work, and a healthy idle server in the preferred zone costs 0.

// Unread prompt tokens that cost as much as a full memory: about two seconds of
// prefill next to running generations. With a lower value, requests go to other
// zones to avoid short waits.
constexpr double unread_tokens_weight = 14000.0;
// Another zone adds a hop to each event, traffic between zones is charged for,
// and a stream stalls while a partition separates it from its engine's zone.
constexpr double other_zone_cost = 0.35;
// Cost of each second until a migration's copy is complete, including the
// copies to the same server before it. A draining server ends about two seconds
// after its notice, so that each second costs as much as two full memories.
constexpr double copy_second_cost = 2.0;
// A copy takes twice as long to another zone.
constexpr double other_zone_copy_factor = 2.0;
// Cost of a migration to another zone, in addition to the cost of the copy's
// duration. It exceeds `migration_jitter`, so that generations change zones
// only if copies queue or memory is short.
constexpr double other_zone_migration_cost = 0.6;
// A server that fails every request costs as much as two full memories.
constexpr double failure_cost = 2.0;
// Cost of a slow server, multiplied by its slowness factor minus one: a server
// that decodes twice as slowly as the median has a factor of two. A prompt that
// is prefilled at a third of the speed makes all streams of that server late,
// so that a server that is twice as slow costs as much as a full one.
constexpr double slowness_cost = 1.0;
// Cost of a server on probation, so that it gets a request only when the other
// servers are busy.
constexpr double probation_cost = 0.35;
// Time over which hosts gradually start to use a new server. They all see the
// empty server at the same time, and learn only later what other hosts sent.
// If all used it at once, each would send its waiting requests, and the last of
// their prompts would be prefilled seconds later.
constexpr core::duration joining_window = std::chrono::milliseconds(600);
// Upper bound of the cost by which a host prefers some servers to others, so
// that hosts with the same information choose different servers.
constexpr double preference_spread = 0.05;
// The same where plain servers state their load: what they state takes
// precedence, and a slowdown of 101 percent costs more than this.
constexpr double stated_preference_spread = 0.005;
// Upper bound of the random cost that is added to each candidate server of a
// migration. It is larger than `preference_spread`, because all hosts choose at
// the same time when a server drains, and copies to one destination wait for
// each other.
constexpr double migration_jitter = 0.4;

// Returns whether requests of this purpose reach a server no faster than its
// network link receives their KV caches, one after the other: a few per second.
// They count as requests to a cold server, but need not wait for others.
bool is_paced_by_copies(placement_purpose purpose)
{
    return purpose == placement_purpose::migration ||
           purpose == placement_purpose::rebalance;
}

// Returns the expected time until the end of a request at a plain server, in
// units of its usual duration and beyond it: the work there and the request
// itself, one round of all slots after the other, each slowed down.
double excess_time(const work_size& load, const effective_load& stated)
{
    const double rounds =
        (static_cast<double>(load.requests) + stated.other_requests) /
        stated.slots;
    return (rounds + 1.0) * stated.slowdown - 1.0;
}

// Returns how long a copy of the work's KV cache takes, including the copies to
// the same server that are in progress.
double copy_seconds(
    const routing::engine_profile& engine,
    const work_size& work,
    const work_size& load,
    bool is_other_zone)
{
    constexpr double bits_per_byte = 8.0;
    constexpr double bits_per_mbit = 1e6;
    const double bits = bits_per_byte * static_cast<double>(engine.token_bytes);
    const double rate = bits_per_mbit * engine.link_mbit_per_second;
    if (rate <= 0)
        return 0;
    const double own = static_cast<double>(work.tokens) *
                       (is_other_zone ? other_zone_copy_factor : 1.0);
    return (static_cast<double>(load.arriving_tokens) + own) * bits / rate;
}

} // namespace

placer::placer(
    const server_directory& directory,
    const load_ledger& ledger,
    const server_health& health,
    const slow_server_detector& slow_servers,
    const server_limits& limits,
    const cold_servers& cold,
    const zone_evacuations& evacuations,
    std::uint64_t seed,
    const reported_loads* loads)
    : directory_(directory), ledger_(ledger), health_(health),
      slow_servers_(slow_servers), limits_(limits), cold_servers_(cold),
      evacuations_(evacuations), loads_(loads), seed_(seed), random_(seed)
{}

// Answers the load of servers that leave in waves: their generations have to
// fit into the memory of the servers that stay.
double placer::start_share(
    const placement_request& request,
    std::size_t usable,
    core::time_point now) const
{
    const bool can_migrate =
        request.service->engine && request.service->engine->can_migrate;
    if (!can_migrate || usable == 0)
        return start_memory_share;
    const auto leaving = static_cast<double>(
        directory_.largest_departure(request.service->name, now));
    return std::clamp(
        migration_memory_share - leaving / static_cast<double>(usable),
        min_start_memory_share,
        start_memory_share);
}

double placer::memory_share(placement_purpose purpose, double start_share)
{
    switch (purpose) {
    case placement_purpose::start:
        return start_share;
    case placement_purpose::short_start:
        return short_start_memory_share;
    case placement_purpose::late_start:
        return late_start_memory_share;
    case placement_purpose::migration:
        return migration_memory_share;
    case placement_purpose::rebalance:
        return rebalance_memory_share;
    }
    return start_share;
}

bool placer::is_in_allowed_region(
    const placement_request& request, const backend_server& server)
{
    if (request.allowed_regions.is_unrestricted())
        return true;
    return request.regions != nullptr &&
           request.regions->is_in(server.zone, request.allowed_regions);
}

bool placer::is_candidate(
    const placement_request& request, const backend_server& server)
{
    if (request.requires_preferred_zone &&
        server.zone != request.preferred_zone)
        return false;
    if (!request.versions.allows(server.version))
        return false;
    return std::find(
               request.excluded.begin(), request.excluded.end(), server.id) ==
           request.excluded.end();
}

bool placer::has_capacity(
    const placement_request& request,
    const backend_server& server,
    const work_size& load,
    const server_speed& speed,
    double start_share) const
{
    if (!request.service->engine)
        return true;
    const routing::engine_profile& engine = *request.service->engine;
    const auto capacity = static_cast<std::uint64_t>(
        memory_share(request.purpose, start_share) *
        static_cast<double>(engine.memory_tokens));
    // The copy of a rebalanced run would delay more urgent copies.
    if (request.purpose == placement_purpose::rebalance &&
        load.arriving_tokens > 0)
        return false;
    // A slow server is slow at prefill as well. It gets one prompt at a time,
    // and only one that it can prefill in time.
    if (speed.slowness > 1.0 && request.work.unread_tokens > 0 &&
        (load.unread_tokens > 0 ||
         static_cast<double>(request.work.unread_tokens) * speed.slowness >
             static_cast<double>(request.max_unread_tokens)))
        return false;
    // A request above the memory share may use a server that is empty.
    if (load.requests == 0)
        return true;
    const bool is_prefill_timely =
        load.unread_tokens == 0 ||
        load.unread_tokens + request.work.unread_tokens <=
            request.max_unread_tokens;
    return is_prefill_timely && load.requests < server.slots &&
           load.tokens + request.work.tokens <= capacity;
}

// Each host starts to use a server that joined after a random part of the
// window; late requests wait until timely ones had time to start there.
bool placer::is_joining(
    const placement_request& request,
    const backend_server& server,
    core::time_point now) const
{
    const auto joined = directory_.joined_at(server.id);
    const bool is_alone =
        ledger_.active_neighbours(now) == 0 && !ledger_.has_group_reports(now);
    if (!joined || is_alone)
        return false;
    const core::duration age = now - *joined;
    if (request.purpose == placement_purpose::late_start)
        return age < 2 * joining_window;
    if (age >= joining_window)
        return false;
    core::random host_random(core::stable_hash(server.id.value(), seed_));
    return age < std::chrono::duration_cast<core::duration>(
                     joining_window * host_random.unit());
}

// Each host starts to try a server on probation after a random part of the
// probation period, and only while no other host does.
bool placer::is_tried_by_others(
    const backend_server& server,
    const work_size& load,
    const server_speed& speed,
    core::time_point now) const
{
    if (!speed.probation_since)
        return false;
    core::random host_random(core::stable_hash(server.id.value(), seed_));
    return load.requests > 0 ||
           now - *speed.probation_since <
               std::chrono::duration_cast<core::duration>(
                   slow_server_detector::probation * host_random.unit());
}

// Answers fleets with many more servers than a host has requests: a host that
// chose at random would rarely meet a server to which it has a connection or
// that has its prompts in the cache. The order differs from host to host and
// does not change, so that the hosts together use all servers alike, and one
// that leaves moves only its own share.
double placer::preference_against(const server_id& server) const
{
    return core::random(core::stable_hash(server.value(), seed_)).unit();
}

double placer::preference_weight(
    const placement_request& request,
    const std::vector<const backend_server*>& usable,
    core::time_point now) const
{
    if (request.service->engine || loads_ == nullptr || loads_->empty())
        return preference_spread;
    const bool states_load =
        std::any_of(usable.begin(), usable.end(), [this, now](const auto* one) {
            return loads_->at(one->id, now).has_value();
        });
    return states_load ? stated_preference_spread : preference_spread;
}

std::optional<effective_load>
placer::stated_load(const server_id& server, core::time_point now) const
{
    return loads_ == nullptr ? std::nullopt : loads_->at(server, now);
}

double placer::cost(
    const placement_request& request,
    const backend_server& server,
    const work_size& load,
    const server_speed& speed,
    core::time_point now) const
{
    const auto stated = stated_load(server.id, now);
    double slowness = speed.slowness;
    // Event gaps and statements show the same slowness.
    if (request.service->engine && stated)
        slowness = std::max(slowness, stated->slowdown);
    double sum = failure_cost * health_.failure_rate(server.id);
    sum += slowness_cost * (slowness - 1.0);
    if (speed.probation_since)
        sum += probation_cost;
    const bool is_migration = request.purpose == placement_purpose::migration;
    const bool is_other_zone = server.zone != request.preferred_zone;
    if (is_other_zone)
        sum += is_migration ? other_zone_migration_cost : other_zone_cost;
    if (!request.service->engine && stated)
        return sum + excess_time(load, *stated);
    if (!request.service->engine)
        return sum + static_cast<double>(load.requests) /
                         std::max<std::uint32_t>(server.slots, 1);
    const routing::engine_profile& engine = *request.service->engine;
    if (is_migration)
        sum += copy_second_cost *
               copy_seconds(engine, request.work, load, is_other_zone);
    sum +=
        static_cast<double>(load.tokens) /
        static_cast<double>(std::max<std::uint64_t>(engine.memory_tokens, 1));
    sum += static_cast<double>(load.unread_tokens) / unread_tokens_weight;
    return sum;
}

tl::expected<placement_choice, placement_failure>
placer::choose(const placement_request& request, core::time_point now)
{
    std::optional<placement_choice> best;
    bool best_is_avoided = true;
    bool has_candidate = false;
    bool is_limited = false;
    bool is_evacuated = false;
    bool has_allowed = false;
    const auto usable = directory_.usable(request.service->name);
    const double share = start_share(request, usable.size(), now);
    const double preference = preference_weight(request, usable, now);
    for (const backend_server* candidate : usable) {
        if (!is_in_allowed_region(request, *candidate))
            continue;
        has_allowed = true;
        if (!is_candidate(request, *candidate))
            continue;
        if (evacuations_.is_evacuated(candidate->zone)) {
            is_evacuated = true;
            continue;
        }
        has_candidate = true;
        if (health_.has_requested_backoff(candidate->id, now)) {
            is_limited = true;
            continue;
        }
        // What an engine reports takes precedence over reports of other hosts.
        if (request.service->engine && (health_.is_full(candidate->id, now) ||
                                        is_joining(request, *candidate, now)))
            continue;
        const work_size load = ledger_.at(candidate->id, now);
        const server_speed speed = slow_servers_.at(candidate->id, now);
        if (is_tried_by_others(*candidate, load, speed, now))
            continue;
        if (!has_capacity(request, *candidate, load, speed, share))
            continue;
        if (!limits_.may_send(candidate->id, now) ||
            (!is_paced_by_copies(request.purpose) &&
             !cold_servers_.may_send(candidate->id, now))) {
            is_limited = true;
            continue;
        }
        const bool is_avoided = health_.is_avoided(candidate->id, now);
        const double spread =
            request.purpose == placement_purpose::migration
                ? migration_jitter * random_.unit()
                : preference * preference_against(candidate->id);
        const double candidate_cost =
            cost(request, *candidate, load, speed, now) + spread;
        const bool is_better = !best || (best_is_avoided != is_avoided
                                             ? best_is_avoided
                                             : candidate_cost < best->cost);
        if (!is_better)
            continue;
        best = placement_choice{*candidate, load, candidate_cost};
        best_is_avoided = is_avoided;
    }
    if (best)
        return *best;
    if (is_limited)
        return tl::unexpected(placement_failure::limited);
    if (!has_candidate && is_evacuated)
        return tl::unexpected(placement_failure::evacuated);
    if (!has_allowed && !usable.empty())
        return tl::unexpected(placement_failure::outside_regions);
    return tl::unexpected(
        has_candidate ? placement_failure::no_room
                      : placement_failure::no_server);
}

} // namespace godwit::placement
