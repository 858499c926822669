#pragma once

#include <godwit/core/identifiers.hpp>

#include <compare>
#include <cstdint>

namespace godwit::orders {

/// Who holds a lease: one run of an agent, between two pauses of it.
struct lease_holder
{
    core::host_name host;
    core::incarnation_id incarnation;

    /// Counts up when the agent drops its leases after a pause, so that it
    /// never renews what it held before.
    std::uint64_t epoch = 0;

    friend bool operator==(const lease_holder&, const lease_holder&) = default;
    friend auto operator<=>(const lease_holder&, const lease_holder&) = default;
};

} // namespace godwit::orders
