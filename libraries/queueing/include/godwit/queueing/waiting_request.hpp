#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>

namespace godwit::queueing {

/// A request that waits for capacity, at this host or at another one.
struct waiting_request
{
    core::service_name service;
    core::organisation_name organisation; ///< Empty if unknown.
    int priority = 0;                     ///< 0 is the most urgent.
    std::uint64_t tokens = 0;             ///< Planned for its run.
    core::time_point arrival_time;
    core::duration objective{};    ///< Target time until its first event.
    core::time_point latest_start; ///< When it can last start in time.

    [[nodiscard]] bool can_start_in_time(core::time_point now) const noexcept
    {
        return now < latest_start;
    }

    /// Whether newer requests of its organisation and priority come after it.
    [[nodiscard]] bool is_aged(core::time_point now) const noexcept
    {
        return now >= arrival_time + 2 * objective;
    }

    friend bool
    operator==(const waiting_request&, const waiting_request&) = default;
};

} // namespace godwit::queueing
