#pragma once

#include <godwit/admission/request_fingerprint.hpp>
#include <godwit/admission/wait_policy.hpp>
#include <godwit/core/error.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/process_state.hpp>
#include <godwit/entry/refusal.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/entry/running_call.hpp>
#include <godwit/http/request.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/placer.hpp>
#include <godwit/placement/server_limits.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::entry {

/// Logs that this host responded to a request with its own error.
void log_refused(
    std::string_view attempt_id,
    std::string_view route,
    refusal_reason reason,
    std::uint64_t table_version,
    core::duration waited);

/// Logs a request without a matching route or a known API key, or one that came
/// before any route table.
void log_unrouted(
    std::string_view attempt_id,
    std::string_view route,
    const http::request& received,
    refusal_reason reason,
    std::uint64_t table_version);

/// Logs the backend server chosen for a request, with the load that the choice
/// was based on.
void log_placed(
    const routed_call& call,
    const placement::placement_choice& choice,
    admission::wait_stage stage);

/// Logs that a backend server did not grant a hold for a request.
void log_hold_failed(
    const routed_call& call,
    const placement::backend_server& server,
    std::uint64_t tokens,
    std::string_view cause);

/// Logs that sending to a backend server failed, or that the server rejected
/// the request.
void log_send_failed(
    const routed_call& call,
    const placement::backend_server& server,
    std::string_view fault,
    std::string_view cause);

/// Logs that a call which runs at `first` is also sent to `second`.
void log_call_hedged(
    const routed_call& call,
    const placement::server_id& first,
    const placement::server_id& second);

/// Logs that the connection to a backend server broke before the response was
/// complete. `fingerprint` is the same for all attempts at a request and
/// `prompt_parts` are those of its prompt's parts; `is_server_draining` tells
/// whether the server was already known to be leaving.
void log_run_lost(
    const routed_call& call,
    const placement::backend_server& server,
    const admission::request_fingerprint& fingerprint,
    const std::vector<admission::request_fingerprint>& prompt_parts,
    bool is_server_draining);

/// Logs that the number of crashes recorded for a request changed; `source`
/// names the host that reported the change.
void log_crash_count(
    std::string_view source,
    const admission::request_fingerprint& request,
    std::size_t crashes,
    bool is_quarantined);

/// Logs that a quarantined request is sent as a trial.
void log_quarantine_trial(
    const routed_call& call, const admission::request_fingerprint& request);

/// Logs that a server still responds after connections to it broke, so that its
/// lost runs do not count as crashes.
void log_server_alive(
    const placement::backend_server& server, std::size_t lost_runs);

/// Logs that a server's request limit was set, changed or lifted; `source`
/// names the host that received the response or reported the change.
void log_server_limit(
    std::string_view source, const placement::server_limit& limit);

/// Logs that a server's response has an invalid request limit.
void log_invalid_server_limit(const placement::server_id& server);

/// Logs that a stream broke off before its end.
void log_stream_interrupted(
    const routed_call& call,
    const placement::backend_server& server,
    std::string_view cause,
    std::uint64_t last_event);

/// Logs that the caller closed its connection before it had the whole response.
/// `server` is empty while the request waits for one; `last_event` is 0 before
/// the first event.
void log_caller_disconnected(
    const routed_call& call, std::string_view server, std::uint64_t last_event);

/// Logs that the host ends before the response was delivered.
void log_cut_by_shutdown(const routed_call& call, call_progress progress);

/// The position of an event in its stream.
enum class event_position
{
    first,
    later,
};

/// Logs that an event of a stream came later than the objective of its route.
void log_late_event(
    const routed_call& call,
    const placement::backend_server& server,
    std::uint64_t event,
    event_position position,
    core::duration gap,
    core::duration objective);

/// The timing of a stream's events at the caller.
struct stream_timing
{
    std::optional<core::duration> first_event_latency; ///< From call arrival.
    core::duration longest_gap{}; ///< Between two events after the first.
    std::uint64_t events = 0;

    friend bool
    operator==(const stream_timing&, const stream_timing&) = default;
};

/// Logs that a server's response belongs to another request than `awaiting`,
/// the id of an attempt or nothing for a control request. `received` is the id
/// of the response, if it has one.
void log_foreign_response(
    const placement::backend_server& server,
    const std::string& awaiting,
    unsigned status,
    const std::string& received);

/// Logs what the end of a connection meant for the response to a request,
/// which had neither a length nor chunks.
void log_undelimited_response(
    const std::string& attempt_id,
    const placement::backend_server& server,
    process_state state,
    bool is_tunnelled);

/// Logs that a stream ended and its caller has all of it.
void log_stream_completed(
    const routed_call& call,
    const placement::backend_server& server,
    const stream_timing& timing);

/// Logs the destination chosen for a running generation; `cause` says why it
/// migrates.
void log_migration_chosen(
    const routed_call& call,
    const placement::backend_server& source,
    const placement::placement_choice& choice,
    std::string_view cause);

/// Logs whether a running generation was resumed at another server.
void log_migration(
    const routed_call& call,
    const placement::backend_server& source,
    std::string_view destination,
    std::string_view result,
    core::duration duration);

/// Logs a decision about a new run of a stream that lost its run at `source`.
void log_stream_new_run(
    const routed_call& call,
    const placement::backend_server& source,
    unsigned runs,
    std::uint64_t last_event,
    std::string_view result);

} // namespace godwit::entry
