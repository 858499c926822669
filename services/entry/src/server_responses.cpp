#include <godwit/entry/server_responses.hpp>

#include <godwit/entry/server_limit_exchange.hpp>
#include <godwit/telemetry/log.hpp>

#include <chrono>
#include <string_view>

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

// The status of a server that is not the one that a request names. What its
// response says is about itself.
constexpr unsigned misdirected_request = 421;
constexpr unsigned unavailable = 503;

constexpr std::string_view component = "entry";

// A restarted server's previous process may respond late.
bool is_current_process(
    const entry_context& context, const placement::backend_server& server)
{
    const auto* known = context.directory.find(server.id);
    return known != nullptr && known->start == server.start;
}

void reject_load(entry_context& context, const placement::server_id& server)
{
    context.metrics
        ->counter(
            "godwit_refused_load_statements_total",
            "Load statements of servers that are malformed.")
        .Increment();
    if (context.servers_with_invalid_load.insert(server).second)
        log_event(
            log_level::warning,
            component,
            "load_statement_refused",
            {{"server", server}});
}

// Logs when a server begins or ceases to state that it is slow.
void log_pace(
    const entry_context& context,
    const placement::backend_server& server,
    const placement::load_statement& statement,
    bool was_slow)
{
    if (statement.is_slow() == was_slow)
        return;
    const auto half_life = context.loads.half_life(server.id);
    log_event(
        log_level::info,
        component,
        "server_stated_pace",
        {{"server", server.id},
         {"slowdown_percent", statement.slowdown_percent()},
         {"running", statement.running()},
         {"waiting", statement.waiting()},
         {"slots", statement.slots()},
         {"half_life_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(
              half_life.value_or(core::duration()))
              .count()}});
}

void update_load(
    entry_context& context,
    const placement::backend_server& server,
    const response_metadata& metadata,
    core::time_point sent_at)
{
    if (metadata.has_invalid_load) {
        reject_load(context, server.id);
        return;
    }
    if (!metadata.load || !is_current_process(context, server))
        return;
    const core::time_point now = core::monotonic_now();
    const auto known = context.loads.at(server.id, now);
    const placement::reported_load load{
        server.id,
        server.start,
        *metadata.load,
        context.ledger.at(server.id, now).requests,
        sent_at};
    if (!context.loads.update(load, placement::statement_origin::own, now))
        return;
    context.metrics
        ->counter(
            "godwit_load_statements_total",
            "Responses of servers that state their load and slowdown.")
        .Increment();
    log_pace(context, server, *metadata.load, known && known->is_stated_slow);
}

void update_requested_backoff(
    entry_context& context,
    const placement::backend_server& server,
    const response_metadata& metadata)
{
    if (metadata.has_invalid_backoff) {
        log_event(
            log_level::warning,
            component,
            "requested_backoff_refused",
            {{"server", server.id}});
        return;
    }
    if (!metadata.backoff)
        return;
    const core::time_point now = core::monotonic_now();
    const bool is_known = context.health.has_requested_backoff(server.id, now);
    context.health.record_requested_backoff(server.id, *metadata.backoff, now);
    if (!is_known)
        log_event(
            log_level::info,
            component,
            "backoff_requested",
            {{"server", server.id},
             {"backoff_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  *metadata.backoff)
                  .count()}});
}

} // namespace

void observe_response(
    entry_context& context,
    const placement::backend_server& server,
    unsigned status,
    const response_metadata& metadata,
    core::time_point sent_at)
{
    if (status == misdirected_request)
        return;
    update_limit(context, server, metadata, sent_at);
    update_load(context, server, metadata, sent_at);
    if (status == unavailable)
        update_requested_backoff(context, server, metadata);
    if (metadata.is_leaving && context.on_server_leaving)
        context.on_server_leaving(server);
}

void observe_response(
    entry_context& context,
    const placement::backend_server& server,
    const http::response& response,
    core::time_point sent_at)
{
    const response_metadata metadata =
        context.codec.read_response_metadata(response.fields);
    const bool says_state = metadata.is_leaving || metadata.backoff;
    if (says_state)
        observe_response(context, server, response.status, metadata, sent_at);
    else if (response.status != misdirected_request)
        update_load(context, server, metadata, sent_at);
}

} // namespace godwit::entry
