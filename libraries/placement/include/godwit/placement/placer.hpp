#pragma once

#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/load_ledger.hpp>
#include <godwit/placement/server_directory.hpp>
#include <godwit/placement/server_health.hpp>
#include <godwit/placement/server_limits.hpp>
#include <godwit/placement/slow_server_detector.hpp>
#include <godwit/placement/work_size.hpp>
#include <godwit/routing/service.hpp>

#include <tl/expected.hpp>

#include <cstdint>
#include <limits>
#include <vector>

namespace godwit::placement {

/// What a placement is wanted for.
enum class placement_purpose
{
    start,       ///< A request that starts, or is sent again.
    short_start, ///< One that gives its memory back within a moment.
    late_start,  ///< One that cannot meet its latency objective any more.
    migration,   ///< A running generation whose server leaves.
    rebalance,   ///< A running generation that could stay, but goes nearer.
};

/// A request that wants a backend server.
struct placement_request
{
    const routing::service* service = nullptr;
    work_size work;
    placement_purpose purpose = placement_purpose::start;
    /// Prompt tokens that a server may have to read, with those of the
    /// request; a server that reads nothing is always good for one.
    std::uint64_t max_unread_tokens = std::numeric_limits<std::uint64_t>::max();
    core::zone_name preferred_zone; ///< The zone that is cheapest to reach.
    /// Servers of other zones than `preferred_zone` are not wanted at all.
    bool requires_preferred_zone = false;
    std::vector<server_id> excluded;
};

/// Why a request has no server.
enum class placement_failure
{
    no_server, ///< None is listed, or every one is excluded.
    no_room,   ///< There are servers, but all of them are full.
    limited,   ///< Servers have room, but their limits are used up.
};

/// The server that was chosen, and why: its load as it was known.
struct placement_choice
{
    backend_server server;
    work_size load;
    double cost = 0; ///< Lower is better; only compared with others.

    friend bool
    operator==(const placement_choice&, const placement_choice&) = default;
};

/// Chooses backend servers by their load, health, pace and distance.
class placer
{
public:
    placer(
        const server_directory& directory,
        const load_ledger& ledger,
        const server_health& health,
        const slow_server_detector& paces,
        const server_limits& limits,
        std::uint64_t seed);

    /// The best server for the request. Servers that are avoided are taken
    /// only when no other one is left.
    [[nodiscard]] tl::expected<placement_choice, placement_failure>
    choose(const placement_request& wanted, core::time_point now);

private:
    [[nodiscard]] static double memory_share(placement_purpose purpose);
    [[nodiscard]] static bool
    is_candidate(const placement_request& wanted, const backend_server& server);
    [[nodiscard]] bool has_room(
        const placement_request& wanted,
        const backend_server& server,
        const work_size& load,
        const server_speed& pace) const;
    [[nodiscard]] bool is_joining(
        const placement_request& wanted,
        const backend_server& server,
        core::time_point now) const;
    [[nodiscard]] bool is_tried_by_others(
        const backend_server& server,
        const work_size& load,
        const server_speed& pace,
        core::time_point now) const;
    [[nodiscard]] double cost(
        const placement_request& wanted,
        const backend_server& server,
        const work_size& load,
        const server_speed& pace) const;

    const server_directory& directory_;
    const load_ledger& ledger_;
    const server_health& health_;
    const slow_server_detector& paces_;
    const server_limits& limits_;
    std::uint64_t seed_;
    core::random random_;
};

} // namespace godwit::placement
