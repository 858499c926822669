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
}

} // namespace godwit::entry
