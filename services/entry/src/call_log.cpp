#include <godwit/entry/call_log.hpp>

#include <godwit/telemetry/log.hpp>

#include <chrono>
#include <cstdint>

namespace godwit::entry {

namespace {

constexpr std::string_view component = "entry";

std::int64_t milliseconds(core::duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
        .count();
}

std::string
joined(const std::vector<admission::request_fingerprint>& fingerprints)
{
    std::string list;
    for (const admission::request_fingerprint& one : fingerprints) {
        if (!list.empty())
            list += ',';
        list += one.value();
    }
    return list;
}

std::string_view name_of(process_state state)
{
    switch (state) {
    case process_state::running:
        return "running";
    case process_state::leaving:
        return "leaving";
    case process_state::responding:
        return "responding";
    case process_state::gone:
        return "gone";
    case process_state::unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace

void log_refused(
    std::string_view attempt_id,
    std::string_view route,
    refusal_reason reason,
    std::uint64_t table_version,
    core::duration waited)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "refused",
        {{"request", attempt_id},
         {"route", route},
         {"reason", to_string(reason)},
         {"outcome", core::to_string(outcome_of(reason))},
         {"table_version", table_version},
         {"waited_ms", milliseconds(waited)}});
}

void log_unrouted(
    std::string_view attempt_id,
    std::string_view route,
    const http::request& received,
    refusal_reason reason,
    std::uint64_t table_version)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "refused",
        {{"request", attempt_id},
         {"route", route},
         {"reason", to_string(reason)},
         {"outcome", core::to_string(outcome_of(reason))},
         {"table_version", table_version},
         {"waited_ms", 0},
         {"asked_host", received.fields.find("Host").value_or("")},
         {"target", received.target}});
}

void log_placed(
    const routed_call& call,
    const placement::placement_choice& choice,
    admission::wait_stage stage)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "placed",
        {{"request", call.metadata.attempt_id},
         {"route", call.route.name},
         {"server", choice.server.id},
         {"server_zone", choice.server.zone},
         {"server_requests", choice.load.requests},
         {"server_tokens", choice.load.tokens},
         {"server_unread", choice.load.unread_tokens},
         {"cost", choice.cost},
         {"stage", admission::to_string(stage)},
         {"table_version", call.routes->version()},
         {"waited_ms",
          milliseconds(core::monotonic_now() - call.arrival_time)}});
}

void log_hold_failed(
    const routed_call& call,
    const placement::backend_server& server,
    std::uint64_t tokens,
    std::string_view cause)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "hold_failed",
        {{"request", call.metadata.attempt_id},
         {"route", call.route.name},
         {"server", server.id},
         {"tokens", tokens},
         {"cause", cause},
         {"age_ms", milliseconds(core::monotonic_now() - call.arrival_time)}});
}

void log_send_failed(
    const routed_call& call,
    const placement::backend_server& server,
    std::string_view fault,
    std::string_view cause)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "send_failed",
        {{"request", call.metadata.attempt_id},
         {"route", call.route.name},
         {"server", server.id},
         {"fault", fault},
         {"cause", cause},
         {"table_version", call.routes->version()},
         {"age_ms", milliseconds(core::monotonic_now() - call.arrival_time)}});
}

void log_call_hedged(
    const routed_call& call,
    const placement::server_id& first,
    const placement::server_id& second)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "call_hedged",
        {{"request", call.metadata.attempt_id},
         {"route", call.route.name},
         {"first", first},
         {"second", second},
         {"age_ms", milliseconds(core::monotonic_now() - call.arrival_time)}});
}

void log_run_lost(
    const routed_call& call,
    const placement::backend_server& server,
    const admission::request_fingerprint& fingerprint,
    const std::vector<admission::request_fingerprint>& prompt_parts,
    bool is_server_draining)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "run_lost",
        {{"request", call.metadata.attempt_id},
         {"route", call.route.name},
         {"fingerprint", fingerprint},
         {"prompt_parts", joined(prompt_parts)},
         {"server", server.id},
         {"server_start_ms", server.start.unix_ms},
         {"server_leaves", is_server_draining},
         {"age_ms", milliseconds(core::monotonic_now() - call.arrival_time)}});
}

void log_crash_count(
    std::string_view source,
    const admission::request_fingerprint& request,
    std::size_t crashes,
    bool is_quarantined)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "crashes_known",
        {{"fingerprint", request},
         {"crashes", crashes},
         {"quarantined", is_quarantined},
         {"source", source}});
}

void log_quarantine_trial(
    const routed_call& call, const admission::request_fingerprint& request)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "quarantine_trial",
        {{"request", call.metadata.attempt_id},
         {"route", call.route.name},
         {"fingerprint", request}});
}

void log_server_alive(
    const placement::backend_server& server, std::size_t lost_runs)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "server_alive",
        {{"server", server.id},
         {"server_start_ms", server.start.unix_ms},
         {"lost_runs", lost_runs}});
}

void log_server_limit(
    std::string_view source, const placement::server_limit& limit)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "server_limit",
        {{"server", limit.server},
         {"server_start_ms", limit.start.unix_ms},
         {"limited", limit.per_second.has_value()},
         {"per_second", limit.per_second.value_or(0)},
         {"source", source}});
}

void log_invalid_server_limit(const placement::server_id& server)
{
    telemetry::log_event(
        telemetry::log_level::warning,
        component,
        "server_limit_refused",
        {{"server", server}});
}

void log_stream_interrupted(
    const routed_call& call,
    const placement::backend_server& server,
    std::string_view cause,
    std::uint64_t last_event)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "cut",
        {{"request", call.metadata.attempt_id},
         {"route", call.route.name},
         {"server", server.id},
         {"cause", cause},
         {"last_event", last_event},
         {"age_ms", milliseconds(core::monotonic_now() - call.arrival_time)}});
}

void log_caller_disconnected(
    const routed_call& call, std::string_view server, std::uint64_t last_event)
{
    const core::time_point now = core::monotonic_now();
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "caller_left",
        {{"request", call.metadata.attempt_id},
         {"route", call.route.name},
         {"server", server},
         {"last_event", last_event},
         {"cause", call.exchange.gone_cause()},
         {"left_ms", milliseconds(call.deadline - now)},
         {"age_ms", milliseconds(now - call.arrival_time)}});
}

void log_cut_by_shutdown(const routed_call& call, call_progress progress)
{
    telemetry::log_event(
        telemetry::log_level::warning,
        component,
        "cut_by_stop",
        {{"request", call.metadata.attempt_id},
         {"route", call.route.name},
         {"progress", to_string(progress)},
         {"age_ms", milliseconds(core::monotonic_now() - call.arrival_time)}});
}

void log_late_event(
    const routed_call& call,
    const placement::backend_server& server,
    std::uint64_t event,
    event_position position,
    core::duration gap,
    core::duration objective)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "late_event",
        {{"request", call.metadata.attempt_id},
         {"route", call.route.name},
         {"server", server.id},
         {"event_id", event},
         {"first", position == event_position::first},
         {"pause_ms", milliseconds(gap)},
         {"objective_ms", milliseconds(objective)}});
}

void log_foreign_response(
    const placement::backend_server& server,
    const std::string& awaiting,
    unsigned status,
    const std::string& received)
{
    telemetry::log_event(
        telemetry::log_level::warning,
        component,
        "foreign_response",
        {{"server", server.id},
         {"request", awaiting},
         {"exchange", awaiting.empty() ? "control" : "run"},
         {"received", received},
         {"status", status}});
}

void log_undelimited_response(
    const std::string& attempt_id,
    const placement::backend_server& server,
    process_state state,
    bool is_tunnelled)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "response_ended_by_connection",
        {{"request", attempt_id},
         {"server", server.id},
         {"server_process", name_of(state)},
         {"tunnelled", is_tunnelled},
         {"outcome",
          state == process_state::running ? "whole" : "perhaps_cut"}});
}

void log_stream_completed(
    const routed_call& call,
    const placement::backend_server& server,
    const stream_timing& timing)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "stream_completed",
        {{"request", call.metadata.attempt_id},
         {"route", call.route.name},
         {"server", server.id},
         {"events", timing.events},
         {"first_ms",
          milliseconds(timing.first_event_latency.value_or(core::duration()))},
         {"longest_pause_ms", milliseconds(timing.longest_gap)},
         {"age_ms", milliseconds(core::monotonic_now() - call.arrival_time)}});
}

void log_migration_chosen(
    const routed_call& call,
    const placement::backend_server& source,
    const placement::placement_choice& choice,
    std::string_view cause)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "migration_chosen",
        {{"request", call.metadata.attempt_id},
         {"source", source.id},
         {"destination", choice.server.id},
         {"cause", cause},
         {"server_zone", choice.server.zone},
         {"server_requests", choice.load.requests},
         {"server_tokens", choice.load.tokens},
         {"server_arriving", choice.load.arriving_tokens},
         {"cost", choice.cost}});
}

void log_migration(
    const routed_call& call,
    const placement::backend_server& source,
    std::string_view destination,
    std::string_view result,
    core::duration duration)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "migration",
        {{"request", call.metadata.attempt_id},
         {"source", source.id},
         {"destination", destination},
         {"verdict", result},
         {"took_ms", milliseconds(duration)}});
}

void log_stream_new_run(
    const routed_call& call,
    const placement::backend_server& source,
    unsigned runs,
    std::uint64_t last_event,
    std::string_view result)
{
    telemetry::log_event(
        telemetry::log_level::info,
        component,
        "stream_new_run",
        {{"request", call.metadata.attempt_id},
         {"source", source.id},
         {"runs", runs},
         {"last_event", last_event},
         {"result", result}});
}

} // namespace godwit::entry
