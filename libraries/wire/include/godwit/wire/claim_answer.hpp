#pragma once

#include <godwit/core/outcome.hpp>
#include <godwit/wire/claim_holder.hpp>
#include <godwit/wire/claim_obstacle.hpp>
#include <godwit/wire/claim_verdict.hpp>

#include <cstdint>

namespace godwit::wire {

/// The only response to a `claim_request`.
struct claim_answer
{
    std::uint64_t ask = 0;
    claim_verdict verdict = claim_verdict::unavailable;
    /// For won, held and finished: position of the valid claim in the log.
    std::uint64_t offset = 0;
    std::uint32_t index = 0;
    /// For won: the time by which the request must start, on the host's
    /// monotonic clock, in microseconds.
    std::int64_t start_before_us = 0;
    /// For held and finished.
    claim_holder holder;
    /// For held: whether the holder's process ended; the outcome is then
    /// unknown.
    bool holder_gone = false;
    /// For finished.
    core::outcome outcome = core::outcome::unknown;
    /// For finished: digest of the response that was sent.
    std::uint64_t answer_digest = 0;
    /// For unavailable.
    claim_obstacle obstacle = claim_obstacle::log_down;
    /// For unavailable: delay before a retry, in milliseconds.
    std::uint32_t retry_after_ms = 0;

    friend bool operator==(const claim_answer&, const claim_answer&) = default;
};

} // namespace godwit::wire
