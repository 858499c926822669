#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace godwit::wire {

/// How far a rollout is.
enum class rollout_state : std::uint8_t
{
    running = 0,
    rolled_back = 1,
    completed = 2,
};

/// An operator's order to move a service to another version of its servers.
struct rollout
{
    core::service_name service;
    std::string target;
    std::uint64_t duration_ms = 0; ///< From the order to its deadline.
    std::uint32_t age_ms = 0;      ///< Time since the order.
    std::uint64_t epoch = 0;       ///< Of the source.
    std::uint64_t sequence = 0;    ///< Of the order, within the epoch.
    rollout_state state = rollout_state::running;
    bool recorded = false; ///< Whether the source has the state.

    friend bool operator==(const rollout&, const rollout&) = default;
};

/// Rollouts that started or changed.
struct rollout_reports
{
    std::vector<rollout> rollouts;

    friend bool
    operator==(const rollout_reports&, const rollout_reports&) = default;
};

/// The responses of one version on one route from the servers of one zone.
struct version_responses
{
    std::string route;
    core::zone_name zone;
    bool target = false;
    std::uint64_t total = 0;
    std::uint64_t failed = 0;
    std::vector<std::uint64_t> latencies; ///< By latency bucket.

    friend bool
    operator==(const version_responses&, const version_responses&) = default;
};

/// All responses since the order that the sender has counted or, if `cell` is
/// set, all hosts of its cell.
struct rollout_responses
{
    core::service_name service;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::string cell;
    std::vector<version_responses> responses;

    friend bool
    operator==(const rollout_responses&, const rollout_responses&) = default;
};

} // namespace godwit::wire
