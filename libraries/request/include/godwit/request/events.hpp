#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/outcome.hpp>
#include <godwit/core/time.hpp>
#include <godwit/request/request_kind.hpp>
#include <godwit/request/resume_position.hpp>
#include <godwit/request/timer.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace godwit::request {

/// A caller's request arrived and may be served. Always the first event.
struct accepted
{
    core::organisation_name organisation;
    core::service_name service;
    core::request_class_name request_class;
    request_kind kind = request_kind::generation;
    answer_mode mode = answer_mode::streamed;
    repeatability repeat = repeatability::repeatable;
    deduplication dedup = deduplication::none;
    std::optional<core::idempotency_key> key;
    std::optional<core::time_point> deadline;
    /// Set when the caller continues a stream (`Last-Event-ID`).
    std::optional<resume_position> resume;

    friend bool operator==(const accepted&, const accepted&) = default;
};

/// This host holds the claim and may start until `start_before`.
struct claim_won
{
    core::time_point start_before;

    friend bool operator==(const claim_won&, const claim_won&) = default;
};

/// Whether the entry host that holds a claim can still be reached.
enum class holder_state
{
    live,
    lost,
};

/// Another run holds the claim.
struct claim_held
{
    core::host_name holder;
    holder_state state = holder_state::live;

    friend bool operator==(const claim_held&, const claim_held&) = default;
};

/// The request ran already and ended with `result`; where that is
/// `completed`, a live `holder` keeps the answer.
struct claim_finished
{
    core::host_name holder;
    holder_state state = holder_state::live;
    core::outcome result = core::outcome::completed;

    friend bool
    operator==(const claim_finished&, const claim_finished&) = default;
};

/// Why a claim is refused for good.
enum class claim_refusal
{
    outside_window, ///< The key is older than the deduplication window.
    key_reused,     ///< The key belongs to another request.
};

/// The key can never be claimed for this request.
struct claim_refused
{
    claim_refusal why = claim_refusal::outside_window;

    friend bool
    operator==(const claim_refused&, const claim_refused&) = default;
};

/// The claims stream cannot be reached; the claim is not held.
struct claim_unavailable
{
    std::optional<core::duration> retry_after;

    friend bool
    operator==(const claim_unavailable&, const claim_unavailable&) = default;
};

/// The holder's answer is here, whole; `deliver_answer` follows.
struct holder_answered
{
    friend bool
    operator==(const holder_answered&, const holder_answered&) = default;
};

/// The holder cannot give the answer any more.
struct holder_failed
{
    friend bool
    operator==(const holder_failed&, const holder_failed&) = default;
};

/// The holder gave its claim up without a run: the key can be claimed again.
struct holder_released
{
    friend bool
    operator==(const holder_released&, const holder_released&) = default;
};

/// Dispatch grants a backend server for the request numbered `ask`.
struct granted
{
    std::uint32_t ask = 0;
    core::server_address server;
    int priority = 0; ///< 0 to 9, higher first.

    friend bool operator==(const granted&, const granted&) = default;
};

/// Why dispatch refuses.
enum class refusal
{
    crowded,    ///< The queue is too long to be worth the wait.
    over_limit, ///< The organisation's limit is reached.
    no_server,  ///< No eligible backend server.
};

/// Dispatch refuses the request numbered `ask`.
struct dispatch_refused
{
    std::uint32_t ask = 0;
    refusal why = refusal::crowded;
    std::optional<core::duration> retry_after;

    friend bool
    operator==(const dispatch_refused&, const dispatch_refused&) = default;
};

/// The connection numbered `connection` is there.
struct connected
{
    std::uint32_t connection = 0;

    friend bool operator==(const connected&, const connected&) = default;
};

/// The connection could not be made; no byte was handed over on it.
struct connect_failed
{
    std::uint32_t connection = 0;
    bool refused = false; ///< Refused by the host, not just unreachable.

    friend bool
    operator==(const connect_failed&, const connect_failed&) = default;
};

/// The first byte of the request goes to the socket right now; reported
/// before the write, so that a crash in between errs to the safe side.
struct first_byte_handed_over
{
    std::uint32_t connection = 0;

    friend bool operator==(
        const first_byte_handed_over&, const first_byte_handed_over&) = default;
};

/// The whole request was handed over.
struct request_sent
{
    std::uint32_t connection = 0;

    friend bool operator==(const request_sent&, const request_sent&) = default;
};

/// Whether the backend server's answer says that it did not start.
enum class start_state
{
    not_said,    ///< The answer says nothing about it.
    not_started, ///< `{"started": false}`: it certainly did not start.
    leaving,     ///< Not started because the server is leaving.
};

/// The head of an answer arrived (for a failure, with its body read).
struct answer_head
{
    std::uint32_t connection = 0;
    int status = 0;
    /// The echoed generation id (generation) or request id (service call).
    std::string echoed_id;
    start_state started = start_state::not_said;

    friend bool operator==(const answer_head&, const answer_head&) = default;
};

/// Whether more tokens follow.
enum class token_finish
{
    more,
    last,
};

/// Tokens `offset` to `offset + count - 1` of a generation arrived.
struct tokens_arrived
{
    std::uint32_t connection = 0;
    core::generation_id generation;
    std::uint64_t offset = 0;
    std::uint64_t count = 0;
    token_finish finish = token_finish::more;

    friend bool
    operator==(const tokens_arrived&, const tokens_arrived&) = default;
};

/// The engine pushed the generation off and will go on with it later.
struct preempted
{
    std::uint32_t connection = 0;
    core::generation_id generation;
    std::uint32_t count = 0;

    friend bool operator==(const preempted&, const preempted&) = default;
};

/// The answer's body ended as its framing says (`[DONE]` for a stream).
struct answer_complete
{
    std::uint32_t connection = 0;

    friend bool
    operator==(const answer_complete&, const answer_complete&) = default;
};

/// The connection broke. Whether bytes were handed over is known from
/// `first_byte_handed_over`.
struct link_broken
{
    std::uint32_t connection = 0;

    friend bool operator==(const link_broken&, const link_broken&) = default;
};

/// Everything handed to the caller's connection so far was written.
struct delivered_to_caller
{
    friend bool operator==(
        const delivered_to_caller&, const delivered_to_caller&) = default;
};

/// The caller closed its connection.
struct caller_gone
{
    friend bool operator==(const caller_gone&, const caller_gone&) = default;
};

/// The caller's buffer stayed full beyond the limit.
struct caller_slow
{
    friend bool operator==(const caller_slow&, const caller_slow&) = default;
};

/// Another entry host goes on with the generation for the same caller.
struct resumed_elsewhere
{
    core::generation_id generation;

    friend bool
    operator==(const resumed_elsewhere&, const resumed_elsewhere&) = default;
};

/// A timer fired; early or outdated firings are ignored.
struct timer_fired
{
    timer which = timer::deadline;

    friend bool operator==(const timer_fired&, const timer_fired&) = default;
};

/// This process began to stop; the request goes on.
struct drain_began
{
    friend bool operator==(const drain_began&, const drain_began&) = default;
};

/// This process stops now; the request must end.
struct drain_limit
{
    friend bool operator==(const drain_limit&, const drain_limit&) = default;
};

/// The catalogue no longer has the service. A request that was sent goes on.
struct service_gone
{
    friend bool operator==(const service_gone&, const service_gone&) = default;
};

/// Everything that can happen to one request.
using event = std::variant<
    accepted,
    claim_won,
    claim_held,
    claim_finished,
    claim_refused,
    claim_unavailable,
    holder_answered,
    holder_failed,
    holder_released,
    granted,
    dispatch_refused,
    connected,
    connect_failed,
    first_byte_handed_over,
    request_sent,
    answer_head,
    tokens_arrived,
    preempted,
    answer_complete,
    link_broken,
    delivered_to_caller,
    caller_gone,
    caller_slow,
    resumed_elsewhere,
    timer_fired,
    drain_began,
    drain_limit,
    service_gone>;

} // namespace godwit::request
