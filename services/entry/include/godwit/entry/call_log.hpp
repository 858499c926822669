#pragma once

#include <godwit/admission/request_fingerprint.hpp>
#include <godwit/admission/wait_policy.hpp>
#include <godwit/core/error.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/refusal.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/http/request.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/placer.hpp>
#include <godwit/placement/server_limits.hpp>

#include <cstdint>
#include <optional>
#include <string_view>

namespace godwit::entry {

/// A request got this host's own answer.
void log_refused(
    std::string_view attempt_id,
    std::string_view route,
    refusal_reason reason,
    std::uint64_t table_version,
    core::duration waited);

/// A request found no route, no holder of its key or no route table.
void log_unrouted(
    std::string_view attempt_id,
    std::string_view route,
    const http::request& received,
    refusal_reason reason,
    std::uint64_t table_version);

/// A request goes to a backend server, chosen by its load as it was known.
void log_placed(
    const routed_call& call,
    const placement::placement_choice& choice,
    admission::wait_stage stage);

/// A backend server kept no room for a request.
void log_hold_failed(
    const routed_call& call,
    const placement::backend_server& server,
    std::uint64_t tokens,
    std::string_view cause);

/// A send to a backend server failed, or was turned away.
void log_send_failed(
    const routed_call& call,
    const placement::backend_server& server,
    std::string_view fault,
    std::string_view cause);

/// The connection to a backend server broke before the answer was complete.
/// `fingerprint` is the same for all attempts at a request; `server_leaves`
/// tells whether the server was already known to be leaving.
void log_run_lost(
    const routed_call& call,
    const placement::backend_server& server,
    const admission::request_fingerprint& fingerprint,
    bool server_leaves);

/// The number of crashes recorded for a request changed; `source` names the
/// host that reported the change.
void log_crash_count(
    std::string_view source,
    const admission::request_fingerprint& request,
    std::size_t crashes,
    bool is_quarantined);

/// Logs that a quarantined request is sent as a trial.
void log_quarantine_trial(
    const routed_call& call, const admission::request_fingerprint& request);

/// Logs that a server still answers after connections to it broke, so that its
/// lost runs do not count as crashes.
void log_server_alive(
    const placement::backend_server& server, std::size_t lost_runs);

/// A server's request limit was set, changed or lifted; `source` names the host
/// that received the answer or reported the change.
void log_server_limit(
    std::string_view source, const placement::server_limit& limit);

/// A server's answer has an invalid request limit.
void log_invalid_server_limit(const placement::server_id& server);

/// A stream's answer was cut midway.
void log_stream_interrupted(
    const routed_call& call,
    const placement::backend_server& server,
    std::string_view cause,
    std::uint64_t last_event);

/// The caller closed its connection before it had the whole answer. `server`
/// is empty while the request waited for one, `last_event` 0 before a first.
void log_caller_disconnected(
    const routed_call& call, std::string_view server, std::uint64_t last_event);

/// Where in its stream an event stands.
enum class event_position
{
    first,
    later,
};

/// An event of a stream came later than its route aims at.
void log_late_event(
    const routed_call& call,
    const placement::backend_server& server,
    std::uint64_t event,
    event_position place,
    core::duration pause,
    core::duration objective);

/// How fast a stream came to its caller.
struct stream_timing
{
    std::optional<core::duration> first; ///< From the call to its first event.
    core::duration longest_pause{};      ///< Between two later events.
    std::uint64_t events = 0;

    friend bool
    operator==(const stream_timing&, const stream_timing&) = default;
};

/// A stream came to its end and its caller has all of it.
void log_stream_completed(
    const routed_call& call,
    const placement::backend_server& server,
    const stream_timing& pace);

/// A running generation goes to this server, for `cause`.
void log_migration_chosen(
    const routed_call& call,
    const placement::backend_server& source,
    const placement::placement_choice& choice,
    std::string_view cause);

/// A running generation went on at another server, or could not.
void log_migration(
    const routed_call& call,
    const placement::backend_server& source,
    std::string_view destination,
    std::string_view verdict,
    core::duration took);

} // namespace godwit::entry
