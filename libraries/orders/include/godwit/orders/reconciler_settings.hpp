#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/orders/lease_record.hpp>

#include <cstdint>

namespace godwit::orders {

/// The settings of one agent's reconciler.
struct reconciler_settings
{
    core::host_name host;

    /// Another one for each run of the agent.
    core::incarnation_id incarnation;

    /// How long a lease lasts; at most `lease_length_limit`.
    core::duration lease_length = std::chrono::seconds(15);

    /// Taken off the lease by its holder, for clocks that run apart and for
    /// an order's way to the engine.
    core::duration lease_margin = std::chrono::seconds(3);

    /// How long an agent that begins to read the stream watches it before it
    /// asks for a lease: at least the longest lease of any agent.
    core::duration first_wait = lease_length_limit;

    /// Loads a second that the weight store takes in all.
    double weight_store_rate = 1.0;

    /// The part of it that orders may use; shared evenly by the pools.
    double weight_store_share = 0.5;

    /// Engines of a pool that may change at one time, in percent; one always
    /// may.
    std::uint32_t disrupted_percent = 25;

    /// How often an engine's state is read back.
    core::duration verify_interval = std::chrono::seconds(5);

    /// How often while an order has not shown its effect.
    core::duration pending_interval = std::chrono::seconds(1);

    /// An order without effect is given again after this.
    core::duration repeat_after = std::chrono::seconds(30);

    /// After this a read, an order or an append counts as lost.
    core::duration answer_timeout = std::chrono::seconds(2);

    /// The wait between tries of the log while it is unavailable.
    core::duration log_retry = std::chrono::seconds(1);

    /// How long one read of the log waits for a record.
    core::duration read_wait = std::chrono::seconds(5);

    friend bool operator==(
        const reconciler_settings&, const reconciler_settings&) = default;
};

} // namespace godwit::orders
