#pragma once

#include <godwit/claims/claim_holder.hpp>
#include <godwit/claims/claim_position.hpp>
#include <godwit/core/outcome.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>
#include <string_view>
#include <variant>

namespace godwit::claims {

/// The asking proxy, and nobody else, may run the request. It checks
/// `start_before` against the host's monotonic clock right before it hands
/// over the first byte; past it, it releases instead.
struct claim_won
{
    claim_position position;
    core::time_point start_before;

    friend bool operator==(const claim_won&, const claim_won&) = default;
};

/// Another request holds the key: ask the holder's proxy for the run or the
/// kept answer. A holder that is gone leaves the outcome `unknown`.
struct claim_held
{
    claim_holder holder;
    claim_position position;
    bool holder_gone = false;

    friend bool operator==(const claim_held&, const claim_held&) = default;
};

/// The request ran and ended; the holder's proxy may still keep the answer.
struct claim_finished
{
    claim_holder holder;
    claim_position position;
    core::outcome outcome = core::outcome::unknown;
    std::uint64_t answer_digest = 0;

    friend bool
    operator==(const claim_finished&, const claim_finished&) = default;
};

/// Why a claim could not be settled.
enum class unavailable_reason
{
    log_down,           ///< The log cannot be reached or is in an outage.
    timed_out,          ///< No settled claim in time; it will be released.
    catching_up,        ///< This agent has not read the whole stream yet.
    history_incomplete, ///< Records inside the window were lost to trimming.
    overloaded,         ///< The queue of claims or the ledger is full.
    releasing,          ///< An earlier claim of this host is being released.
    invalid_holder,     ///< The proxy named itself in a way not allowed.
};

/// The name of `reason` as it appears in logs and answers.
[[nodiscard]] std::string_view to_string(unavailable_reason reason) noexcept;

/// The request did not run under this ask; it may be tried again later.
struct claim_unavailable
{
    unavailable_reason reason = unavailable_reason::log_down;
    core::duration retry_after{0};

    friend bool
    operator==(const claim_unavailable&, const claim_unavailable&) = default;
};

/// The key is older than the deduplication window; it does not run again.
struct claim_outside_window
{
    friend bool operator==(
        const claim_outside_window&, const claim_outside_window&) = default;
};

/// The key belongs to another request of the same organisation.
struct claim_key_reused
{
    friend bool
    operator==(const claim_key_reused&, const claim_key_reused&) = default;
};

/// The answer to a proxy that asked for a claim. Each ask gets exactly one.
using claim_answer = std::variant<
    claim_won,
    claim_held,
    claim_finished,
    claim_unavailable,
    claim_outside_window,
    claim_key_reused>;

} // namespace godwit::claims
