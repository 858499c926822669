#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/outcome.hpp>
#include <godwit/core/time.hpp>
#include <godwit/request/decision_record.hpp>
#include <godwit/request/fail_reason.hpp>
#include <godwit/request/timer.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace godwit::request {

/// Ask the agent for the claim on (organisation, key).
struct ask_claim
{
    core::organisation_name organisation;
    core::idempotency_key key;

    friend bool operator==(const ask_claim&, const ask_claim&) = default;
};

/// The request did not and will not run here: let another host claim it.
/// Also withdraws a claim that is not settled yet.
struct release_claim
{
    friend bool
    operator==(const release_claim&, const release_claim&) = default;
};

/// The run under the claim ended; keep the answer for the caller's retries
/// where `result` is `completed`, and the outcome otherwise.
struct settle_claim
{
    core::outcome result = core::outcome::completed;

    friend bool operator==(const settle_claim&, const settle_claim&) = default;
};

/// Fetch the answer from the entry host that holds the claim.
struct attach_to_holder
{
    core::host_name holder;

    friend bool
    operator==(const attach_to_holder&, const attach_to_holder&) = default;
};

/// Ask dispatch for a backend server other than `excluded`.
struct ask_dispatch
{
    std::uint32_t ask = 0;
    std::vector<core::server_address> excluded;

    friend bool operator==(const ask_dispatch&, const ask_dispatch&) = default;
};

/// Give back the place in the queue or the grant of that number.
struct leave_dispatch
{
    std::uint32_t ask = 0;

    friend bool
    operator==(const leave_dispatch&, const leave_dispatch&) = default;
};

/// Take a connection to `server`: a new one, or one whose last answer was
/// complete.
struct connect_to
{
    std::uint32_t connection = 0;
    core::server_address server;

    friend bool operator==(const connect_to&, const connect_to&) = default;
};

/// Send the request on the connection.
struct send_request
{
    std::uint32_t connection = 0;
    core::generation_id generation; ///< Empty for a service call.
    int priority = 0;
    /// Nothing may be handed over after this moment; check it right before
    /// the write, and report `link_broken` instead of writing.
    std::optional<core::time_point> not_after;

    friend bool operator==(const send_request&, const send_request&) = default;
};

/// Ask on the connection for the same generation again.
struct resume_generation
{
    std::uint32_t connection = 0;
    core::generation_id generation;
    std::uint64_t from = 0;

    friend bool
    operator==(const resume_generation&, const resume_generation&) = default;
};

/// Tell the other entry hosts that this one goes on with the generation.
struct announce_resumed
{
    core::generation_id generation;

    friend bool
    operator==(const announce_resumed&, const announce_resumed&) = default;
};

/// Write tokens `first` to `first + count - 1` of the event to the caller.
struct deliver_tokens
{
    core::generation_id generation;
    std::uint64_t first = 0;
    std::uint64_t count = 0;

    friend bool
    operator==(const deliver_tokens&, const deliver_tokens&) = default;
};

/// Append these tokens to the answer that is being collected.
struct keep_tokens
{
    core::generation_id generation;
    std::uint64_t first = 0;
    std::uint64_t count = 0;

    friend bool operator==(const keep_tokens&, const keep_tokens&) = default;
};

/// Throw the collected answer away; another attempt starts from nothing.
struct discard_kept
{
    friend bool operator==(const discard_kept&, const discard_kept&) = default;
};

/// Write the collected answer to the caller.
struct deliver_answer
{
    int status = 0;

    friend bool
    operator==(const deliver_answer&, const deliver_answer&) = default;
};

/// Write the end of the stream to the caller.
struct finish_stream
{
    friend bool
    operator==(const finish_stream&, const finish_stream&) = default;
};

/// Tell the caller that its request failed: a problem answer, or the last
/// event of a stream that began.
struct fail_request
{
    core::outcome result = core::outcome::unknown;
    fail_reason reason = fail_reason::backend_error;
    std::string remedy;
    int status = 0;
    std::optional<core::duration> retry_after;

    friend bool operator==(const fail_request&, const fail_request&) = default;
};

/// Cancel the generation on its engine; best effort.
struct cancel_generation
{
    core::server_address server;
    core::generation_id generation;

    friend bool
    operator==(const cancel_generation&, const cancel_generation&) = default;
};

/// Close the connection; it is never used again.
struct close_connection
{
    std::uint32_t connection = 0;

    friend bool
    operator==(const close_connection&, const close_connection&) = default;
};

/// The answer on the connection was complete; it may be used again.
struct keep_connection
{
    std::uint32_t connection = 0;

    friend bool
    operator==(const keep_connection&, const keep_connection&) = default;
};

/// Fire `which` at `at`; replaces the earlier moment of that timer.
struct set_timer
{
    timer which = timer::deadline;
    core::time_point at;

    friend bool operator==(const set_timer&, const set_timer&) = default;
};

/// What a request saw of a backend server.
enum class observation
{
    answered,  ///< An answer that belongs to the request.
    refused,   ///< It refused the connection.
    timed_out, ///< No connection, or no answer, in time.
    broke,     ///< The connection broke during an answer.
    crossed,   ///< The answer belonged to another request.
    leaving,   ///< It said that it is leaving.
};

/// Tell membership what was seen of `server`.
struct report_server
{
    core::server_address server;
    observation seen = observation::answered;

    friend bool
    operator==(const report_server&, const report_server&) = default;
};

/// Tell dispatch that the engine pushed the generation off.
struct note_preemption
{
    std::uint32_t ask = 0;
    std::uint32_t count = 0;

    friend bool
    operator==(const note_preemption&, const note_preemption&) = default;
};

/// Keep the record for explanations.
struct record_decision
{
    decision_record record;

    friend bool
    operator==(const record_decision&, const record_decision&) = default;
};

/// Everything that a request can want done.
using action = std::variant<
    ask_claim,
    release_claim,
    settle_claim,
    attach_to_holder,
    ask_dispatch,
    leave_dispatch,
    connect_to,
    send_request,
    resume_generation,
    announce_resumed,
    deliver_tokens,
    keep_tokens,
    discard_kept,
    deliver_answer,
    finish_stream,
    fail_request,
    cancel_generation,
    close_connection,
    keep_connection,
    set_timer,
    report_server,
    note_preemption,
    record_decision>;

} // namespace godwit::request
