#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>
#include <vector>

namespace godwit::wire {

/// A request that waits for capacity at the sender.
struct waiting_head
{
    core::service_name service;
    core::organisation_name organisation; ///< Empty if unknown.
    std::int32_t priority = 0;            ///< 0 is the most urgent.
    /// Time for which it can still start in time; negative afterwards.
    std::int32_t slack_ms = 0;
    std::uint32_t waited_ms = 0;
    std::uint32_t objective_ms = 0; ///< Target time until its first event.
    std::uint64_t tokens = 0;       ///< Planned for its run.

    friend bool operator==(const waiting_head&, const waiting_head&) = default;
};

/// The work that an organisation used at the sender.
struct organisation_work
{
    core::organisation_name organisation;
    double work = 0; ///< Token seconds that decay.

    friend bool
    operator==(const organisation_work&, const organisation_work&) = default;
};

/// The most urgent requests that wait at the sender, and the work that
/// organisations used there.
struct waiting_heads
{
    std::vector<waiting_head> heads;
    std::vector<organisation_work> used;

    friend bool
    operator==(const waiting_heads&, const waiting_heads&) = default;
};

} // namespace godwit::wire
