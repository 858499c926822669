#include <godwit/placement/placer.hpp>

#include <godwit/core/hash.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

namespace godwit::placement {

namespace {

// The share of a server's memory that starts may plan to fill. What stays
// free takes generations that come from a server that leaves.
constexpr double start_memory_share = 0.95;
// Short generations find room beside them: what they take they give back
// before anybody misses it.
constexpr double short_start_memory_share = 1.0;
// Late starts take what nobody needs who can be in time: where memory is
// short, each of them would make another request late.
constexpr double late_start_memory_share = 0.5;
// Migrations may fill what a server has; beyond it somebody is preempted.
constexpr double migration_memory_share = 1.05;
// Nobody needs a run to be rebalanced, and memory that it fills keeps starts
// out: it goes only where plenty is left.
constexpr double rebalance_memory_share = 0.75;
// Unread prompt tokens that weigh as much as a whole memory: about two seconds
// of reading beside running generations. At a quarter of it requests went to
// other zones for a moment's wait, and 1.8% fewer long streams were in time
// (15 simulated days with faults).
constexpr double unread_tokens_weight = 14000.0;
// Another zone adds a hop to each event, its traffic is paid for, and a stream
// stands still while its engine's zone is cut off.
constexpr double other_zone_cost = 0.35;
// Of a migration that takes a second until its memory is there, in the copies
// that come before it and its own. Servers that leave give some two seconds,
// so a second weighs as much as two engines' memories.
constexpr double copy_second_cost = 2.0;
// A copy takes twice as long to another zone.
constexpr double other_zone_copy_factor = 2.0;
// Beside the time of the copy: more than the spread between hosts, so that
// runs cross zones only where copies queue or memory is short.
constexpr double other_zone_migration_cost = 0.6;
// A server that fails every request costs as much as two full ones.
constexpr double failure_cost = 2.0;
// For each time that a server writes slower than the others. A prompt that a
// server reads at a third of its speed makes all that run there late, so one
// that is twice as slow costs as much as a full one.
constexpr double slowness_cost = 1.0;
// Of a server that may still be slow: it is tried when the others are busy.
constexpr double doubt_cost = 0.35;
// All hosts see a new, empty server at the same moment, and hear of what
// others sent there only afterwards. Were it open to all of them at once, each
// would send it what it has waiting: up to thirteen prompts within a
// millisecond, of which the last began 5 s later. One is read in some 200 ms.
constexpr core::duration joining_span = std::chrono::milliseconds(600);
// Spreads the choices of hosts that know the same.
constexpr double jitter = 0.05;
// All hosts choose at the same moment when a server leaves, and copies to
// one destination wait for each other.
constexpr double migration_jitter = 0.4;

// How long it takes until a copy of the work's memory is at a server to which
// others are on their way.
double copy_seconds(
    const routing::engine_profile& engine,
    const work_size& work,
    const work_size& load,
    bool is_far)
{
    constexpr double bits_per_byte = 8.0;
    constexpr double bits_per_mbit = 1e6;
    const double bits = bits_per_byte * static_cast<double>(engine.token_bytes);
    const double rate = bits_per_mbit * engine.link_mbit_per_second;
    if (rate <= 0)
        return 0;
    const double own = static_cast<double>(work.tokens) *
                       (is_far ? other_zone_copy_factor : 1.0);
    return (static_cast<double>(load.arriving_tokens) + own) * bits / rate;
}

} // namespace

placer::placer(
    const server_directory& directory,
    const load_ledger& ledger,
    const server_health& health,
    const slow_server_detector& paces,
    const server_limits& limits,
    std::uint64_t seed)
    : directory_(directory), ledger_(ledger), health_(health), paces_(paces),
      limits_(limits), seed_(seed), random_(seed)
{}

double placer::memory_share(placement_purpose purpose)
{
    switch (purpose) {
    case placement_purpose::start:
        return start_memory_share;
    case placement_purpose::short_start:
        return short_start_memory_share;
    case placement_purpose::late_start:
        return late_start_memory_share;
    case placement_purpose::migration:
        return migration_memory_share;
    case placement_purpose::rebalance:
        return rebalance_memory_share;
    }
    return start_memory_share;
}

bool placer::is_candidate(
    const placement_request& wanted, const backend_server& server)
{
    if (wanted.requires_preferred_zone && server.zone != wanted.preferred_zone)
        return false;
    return std::find(
               wanted.excluded.begin(), wanted.excluded.end(), server.id) ==
           wanted.excluded.end();
}

bool placer::has_room(
    const placement_request& wanted,
    const backend_server& server,
    const work_size& load,
    const server_speed& pace) const
{
    if (!wanted.service->engine)
        return true;
    const routing::engine_profile& engine = *wanted.service->engine;
    const auto room = static_cast<std::uint64_t>(
        memory_share(wanted.purpose) *
        static_cast<double>(engine.memory_tokens));
    // Its copy would hold up those that cannot wait.
    if (wanted.purpose == placement_purpose::rebalance &&
        load.arriving_tokens > 0)
        return false;
    // A slow server reads as slowly as it writes. It gets one prompt at a time,
    // and one that it reads in time.
    if (pace.slowness > 1.0 && wanted.work.unread_tokens > 0 &&
        (load.unread_tokens > 0 ||
         static_cast<double>(wanted.work.unread_tokens) * pace.slowness >
             static_cast<double>(wanted.max_unread_tokens)))
        return false;
    // A request that is larger than the share may have a server alone.
    if (load.requests == 0)
        return true;
    const bool is_read_in_time =
        load.unread_tokens == 0 ||
        load.unread_tokens + wanted.work.unread_tokens <=
            wanted.max_unread_tokens;
    return is_read_in_time && load.requests < server.slots &&
           load.tokens + wanted.work.tokens <= room;
}

// Each host begins to use a server that joined after a part of the span of its
// own; what is late already, when all that can be in time had their turn.
bool placer::is_joining(
    const placement_request& wanted,
    const backend_server& server,
    core::time_point now) const
{
    const auto joined = directory_.joined_at(server.id);
    const bool is_alone =
        ledger_.active_neighbours(now) == 0 && !ledger_.has_group_reports(now);
    if (!joined || is_alone)
        return false;
    const core::duration age = now - *joined;
    if (wanted.purpose == placement_purpose::late_start)
        return age < 2 * joining_span;
    if (age >= joining_span)
        return false;
    core::random own(core::stable_hash(server.id.value(), seed_));
    return age < std::chrono::duration_cast<core::duration>(
                     joining_span * own.unit());
}

// Hosts begin to try a server that may still be slow after a part of the span
// of their own, and only while nobody else does.
bool placer::is_tried_by_others(
    const backend_server& server,
    const work_size& load,
    const server_speed& pace,
    core::time_point now) const
{
    if (!pace.probation_since)
        return false;
    core::random own(core::stable_hash(server.id.value(), seed_));
    return load.requests > 0 ||
           now - *pace.probation_since <
               std::chrono::duration_cast<core::duration>(
                   slow_server_detector::probation * own.unit());
}

double placer::cost(
    const placement_request& wanted,
    const backend_server& server,
    const work_size& load,
    const server_speed& pace) const
{
    double sum = failure_cost * health_.failure_rate(server.id);
    sum += slowness_cost * (pace.slowness - 1.0);
    if (pace.probation_since)
        sum += doubt_cost;
    const bool migrates = wanted.purpose == placement_purpose::migration;
    const bool is_far = server.zone != wanted.preferred_zone;
    if (is_far)
        sum += migrates ? other_zone_migration_cost : other_zone_cost;
    if (!wanted.service->engine)
        return sum + static_cast<double>(load.requests) /
                         std::max<std::uint32_t>(server.slots, 1);
    const routing::engine_profile& engine = *wanted.service->engine;
    if (migrates)
        sum +=
            copy_second_cost * copy_seconds(engine, wanted.work, load, is_far);
    sum +=
        static_cast<double>(load.tokens) /
        static_cast<double>(std::max<std::uint64_t>(engine.memory_tokens, 1));
    sum += static_cast<double>(load.unread_tokens) / unread_tokens_weight;
    return sum;
}

tl::expected<placement_choice, placement_failure>
placer::choose(const placement_request& wanted, core::time_point now)
{
    std::optional<placement_choice> best;
    bool best_is_avoided = true;
    bool any = false;
    bool is_limited = false;
    for (const backend_server* candidate :
         directory_.usable(wanted.service->name)) {
        if (!is_candidate(wanted, *candidate))
            continue;
        any = true;
        // An engine's own word goes before what hosts told each other of it.
        if (wanted.service->engine && (health_.is_full(candidate->id, now) ||
                                       is_joining(wanted, *candidate, now)))
            continue;
        const work_size load = ledger_.at(candidate->id, now);
        const server_speed pace = paces_.at(candidate->id, now);
        if (is_tried_by_others(*candidate, load, pace, now))
            continue;
        if (!has_room(wanted, *candidate, load, pace))
            continue;
        if (!limits_.may_send(candidate->id, now)) {
            is_limited = true;
            continue;
        }
        const bool is_avoided = health_.is_avoided(candidate->id, now);
        const double spread = wanted.purpose == placement_purpose::migration
                                  ? migration_jitter
                                  : jitter;
        const double own_cost =
            cost(wanted, *candidate, load, pace) + spread * random_.unit();
        const bool is_better =
            !best || (best_is_avoided != is_avoided ? best_is_avoided
                                                    : own_cost < best->cost);
        if (!is_better)
            continue;
        best = placement_choice{*candidate, load, own_cost};
        best_is_avoided = is_avoided;
    }
    if (best)
        return *best;
    if (is_limited)
        return tl::unexpected(placement_failure::limited);
    return tl::unexpected(
        any ? placement_failure::no_room : placement_failure::no_server);
}

} // namespace godwit::placement
