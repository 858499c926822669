#pragma once

#include <godwit/claims/ledger_settings.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>

namespace godwit::claims {

/// Who appends an entry host's claims to the log.
enum class batch_writer
{
    each_host,    ///< Each entry host its own.
    one_per_zone, ///< One entry host a zone and key range, for its zone.
};

/// The settings of one agent's claimer.
struct claimer_settings
{
    /// The entry host of this agent.
    core::host_name host;

    /// Its availability zone.
    core::zone_name zone;

    /// Random, another one for each run of the agent (see `attempt_id`).
    std::uint64_t claimer = 0;

    ledger_settings ledger;

    /// How long a batch gathers claims before it is appended.
    core::duration gather = std::chrono::milliseconds(2);

    /// How long the end of a run may wait for a batch to go with.
    core::duration finished_gather = std::chrono::milliseconds(100);

    batch_writer writer = batch_writer::one_per_zone;

    /// Key ranges; each has one batch writer a zone.
    std::uint32_t key_ranges = 1;

    /// Appends a second that the log takes in all.
    double log_rate = 300.0;

    /// The part of `log_rate` that claims of all entry hosts may use; the
    /// rest stays free for operators and other streams.
    double log_share = 0.5;

    /// Appends of this host under way at once.
    std::size_t appends_in_flight_limit = 4;

    /// Entries waiting or under way at this host. Above it, asks are
    /// answered `overloaded` and forwarded claims are declined; above twice
    /// as many, ends of runs are dropped (their keys stay `held`).
    std::size_t pending_limit = 4096;

    /// After this an ask is answered `claim_unavailable`.
    core::duration ask_timeout = std::chrono::seconds(2);

    /// After this an append without an answer counts as lost.
    core::duration append_timeout = std::chrono::seconds(1);

    /// After this a forwarded claim not seen on the log is appended here.
    core::duration forward_timeout = std::chrono::milliseconds(250);

    /// A won claim may be started this long after the ask.
    core::duration start_limit = std::chrono::seconds(10);

    /// The wait between tries of the log while it is unavailable.
    core::duration log_retry = std::chrono::milliseconds(500);

    /// How long one read of the log waits for a record.
    core::duration read_wait = std::chrono::seconds(5);

    /// The most records asked for in one read.
    std::uint32_t read_limit = 256;

    friend bool
    operator==(const claimer_settings&, const claimer_settings&) = default;
};

} // namespace godwit::claims
