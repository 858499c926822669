#pragma once

#include <godwit/core/random.hpp>
#include <godwit/core/time.hpp>
#include <godwit/queueing/cell_queue.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace godwit::queueing::test {

/// A kind of requests in a replay.
struct request_kind
{
    int priority = 0;
    core::duration objective{};
    core::duration run_time{};
    std::uint64_t tokens = 0;
    double share = 1; ///< Of all requests.
};

struct replay_settings
{
    std::size_t hosts = 6;
    std::size_t slots_per_host = 8;
    /// Demand relative to the capacity.
    double load = 3;
    /// How many times the requests of another organisation the first one has.
    double first_organisation_requests = 10;
    std::vector<request_kind> kinds;
    bool shares_order = true;
    /// Whether hosts with odd numbers do not hear the others, and vice versa.
    bool is_partitioned = false;
    std::uint64_t seed = 1;
};

struct replay_result
{
    std::size_t starts = 0;
    /// Starts while another request of the cell, or of the fleet, goes first by
    /// more than 200 ms of slack or a tenth of a share.
    std::size_t outranked_in_cell = 0;
    std::size_t outranked_in_fleet = 0;
    std::size_t fleet_samples = 0;
    /// Token seconds by organisation in the last ten seconds.
    std::vector<double> work;
    /// Waits of the organisations other than the first one, in milliseconds.
    std::vector<double> light_waits_ms;
    std::size_t light_expired = 0;
    double bytes_per_link_and_second = 0;
    std::size_t most_messages_in_100_ms = 0;
    double used_capacity = 0; ///< Share of the slot time.
    std::size_t most_used_slots_at_a_server = 0;
};

inline constexpr std::size_t organisations = 24;
inline constexpr std::size_t slots_per_server = 24;

/// Runs the decisions of a fleet's hosts in virtual time for sixteen seconds,
/// in cells of at most 25 hosts whose messages take 3 ms. Each server grants
/// its slots itself.
[[nodiscard]] replay_result run_replay(const replay_settings& settings);

} // namespace godwit::queueing::test
