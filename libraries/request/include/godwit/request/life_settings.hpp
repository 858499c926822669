#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstdint>

namespace godwit::request {

/// The limits of one request's life. All spans are above zero.
struct life_settings
{
    /// How long a claim, or a holder's answer, is waited for.
    core::duration claim_wait = std::chrono::seconds(2);
    core::duration holder_wait = std::chrono::seconds(60);
    core::duration connect_wait = std::chrono::seconds(1);
    core::duration head_wait = std::chrono::seconds(10);
    /// The same for the answer to a resume, which an engine gives at once.
    core::duration resume_wait = std::chrono::seconds(1);
    /// How long the first token may take after the head: a crowded engine
    /// lets a generation wait before it starts it.
    core::duration first_token_wait = std::chrono::seconds(30);
    /// How long nothing may arrive in mid-stream.
    core::duration stall_wait = std::chrono::seconds(3);
    /// The same after the engine said that it pushed the generation off.
    core::duration preempted_wait = std::chrono::seconds(30);
    /// How long the end marker is waited for after the last token.
    core::duration end_wait = std::chrono::milliseconds(200);
    /// How long a generation lives on after its caller left.
    core::duration orphan_wait = std::chrono::seconds(10);
    /// Delays between attempts: a random span up to the base, doubled each
    /// time up to the limit.
    core::duration backoff_base = std::chrono::milliseconds(20);
    core::duration backoff_limit = std::chrono::seconds(1);
    /// Runs of one request, the first included.
    std::uint32_t attempt_limit = 3;
    /// Tries in a row to resume without a token of progress.
    std::uint32_t resume_limit = 4;
    /// `Retry-After` where nothing better is known.
    core::duration retry_after = std::chrono::seconds(1);

    friend bool
    operator==(const life_settings&, const life_settings&) = default;
};

} // namespace godwit::request
