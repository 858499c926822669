#pragma once

#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/cold_servers.hpp>
#include <godwit/placement/load_ledger.hpp>
#include <godwit/placement/reported_loads.hpp>
#include <godwit/placement/server_directory.hpp>
#include <godwit/placement/server_health.hpp>
#include <godwit/placement/server_limits.hpp>
#include <godwit/placement/slow_server_detector.hpp>
#include <godwit/placement/version_filter.hpp>
#include <godwit/placement/work_size.hpp>
#include <godwit/placement/zone_evacuations.hpp>
#include <godwit/routing/region_set.hpp>
#include <godwit/routing/service.hpp>
#include <godwit/routing/zone_regions.hpp>

#include <tl/expected.hpp>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <vector>

namespace godwit::placement {

/// The reason for a placement.
enum class placement_purpose
{
    start,       ///< A request that starts or is retried.
    short_start, ///< A request that frees its memory soon.
    late_start,  ///< A request that cannot meet its latency objective any more.
    migration,   ///< A running generation whose server is draining.
    rebalance,   ///< A running generation that moves to the preferred zone.
};

/// A request for a backend server.
struct placement_request
{
    const routing::service* service = nullptr;
    work_size work;
    placement_purpose purpose = placement_purpose::start;
    /// How many prompt tokens a server may have to prefill, including those of
    /// the request; a server that is not prefilling anything takes any request.
    std::uint64_t max_unread_tokens = std::numeric_limits<std::uint64_t>::max();
    core::zone_name preferred_zone; ///< The zone that is cheapest to reach.
    /// Excludes servers of other zones.
    bool requires_preferred_zone = false;
    std::vector<server_id> excluded;
    /// Excludes servers of other regions. A server whose region is unknown is
    /// only used if all regions are allowed.
    routing::region_set allowed_regions = routing::region_set::all();
    /// The regions of the zones; null if they are unknown.
    const routing::zone_regions* regions = nullptr;
    version_filter versions;
};

/// Why no server was chosen.
enum class placement_failure
{
    no_server, ///< None is listed, or all are excluded.
    no_room,   ///< There are servers, but none has capacity.
    limited,   ///< Servers have capacity, but are at their request limits.
    evacuated, ///< All servers are in evacuated availability zones.
    /// Servers are listed, but none in a region that the request may use.
    outside_regions,
};

/// The chosen server, with the load and cost that it was chosen by.
struct placement_choice
{
    backend_server server;
    work_size load;
    double cost = 0; ///< Lower is better; only meaningful in comparison.

    friend bool
    operator==(const placement_choice&, const placement_choice&) = default;
};

/// Chooses backend servers by load, health, speed and zone.
class placer
{
public:
    /// `loads` may be null: no server states its load then.
    placer(
        const server_directory& directory,
        const load_ledger& ledger,
        const server_health& health,
        const slow_server_detector& slow_servers,
        const server_limits& limits,
        const cold_servers& cold,
        const zone_evacuations& evacuations,
        std::uint64_t seed,
        const reported_loads* loads = nullptr);

    /// Returns the server with the lowest cost. Servers that are avoided are
    /// chosen only if there is no other one.
    [[nodiscard]] tl::expected<placement_choice, placement_failure>
    choose(const placement_request& request, core::time_point now);

private:
    /// Returns the share of a server's memory that starts may use.
    [[nodiscard]] double start_share(
        const placement_request& request,
        std::size_t usable,
        core::time_point now) const;
    [[nodiscard]] static double
    memory_share(placement_purpose purpose, double start_share);
    [[nodiscard]] static bool is_in_allowed_region(
        const placement_request& request, const backend_server& server);
    [[nodiscard]] static bool is_candidate(
        const placement_request& request, const backend_server& server);
    [[nodiscard]] bool has_capacity(
        const placement_request& request,
        const backend_server& server,
        const work_size& load,
        const server_speed& speed,
        double start_share) const;
    /// Whether the server joined so recently that this host does not use it
    /// yet.
    [[nodiscard]] bool is_joining(
        const placement_request& request,
        const backend_server& server,
        core::time_point now) const;
    /// Whether the server is on probation and this host must not try it now:
    /// another request runs there, or it is not yet this host's turn.
    [[nodiscard]] bool is_tried_by_others(
        const backend_server& server,
        const work_size& load,
        const server_speed& speed,
        core::time_point now) const;
    /// Returns a number in [0, 1) that is the same for each choice of this
    /// host; servers with a smaller one are preferred.
    [[nodiscard]] double preference_against(const server_id& server) const;
    /// Returns the upper bound of the cost by which this host's preference
    /// order counts.
    [[nodiscard]] double preference_weight(
        const placement_request& request,
        const std::vector<const backend_server*>& usable,
        core::time_point now) const;
    [[nodiscard]] std::optional<effective_load>
    stated_load(const server_id& server, core::time_point now) const;
    [[nodiscard]] double cost(
        const placement_request& request,
        const backend_server& server,
        const work_size& load,
        const server_speed& speed,
        core::time_point now) const;

    const server_directory& directory_;
    const load_ledger& ledger_;
    const server_health& health_;
    const slow_server_detector& slow_servers_;
    const server_limits& limits_;
    const cold_servers& cold_servers_;
    const zone_evacuations& evacuations_;
    const reported_loads* loads_;
    std::uint64_t seed_;
    core::random random_;
};

} // namespace godwit::placement
