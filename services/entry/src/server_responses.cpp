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

void update_rest(
    entry_context& context,
    const placement::backend_server& server,
    const response_metadata& metadata)
{
    if (metadata.has_invalid_rest) {
        log_event(
            log_level::warning,
            component,
            "server_rest_refused",
            {{"server", server.id}});
        return;
    }
    if (!metadata.rest)
        return;
    const core::time_point now = core::monotonic_now();
    const bool is_news =
        context.health.rest_left(server.id, now) == core::duration::zero();
    context.health.record_rest(server.id, now + *metadata.rest, now);
    if (is_news)
        log_event(
            log_level::info,
            component,
            "server_rests",
            {{"server", server.id},
             {"rest_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(
                  *metadata.rest)
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
        update_rest(context, server, metadata);
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
    const bool says_state = metadata.is_leaving || metadata.rest;
    if (says_state)
        observe_response(context, server, response.status, metadata, sent_at);
}

} // namespace godwit::entry
