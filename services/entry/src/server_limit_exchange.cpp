#include <godwit/entry/server_limit_exchange.hpp>

#include <godwit/entry/call_log.hpp>
#include <godwit/entry/cold_server_exchange.hpp>
#include <godwit/entry/wire_age.hpp>
#include <godwit/telemetry/log.hpp>

#include <chrono>
#include <cmath>
#include <cstdint>

namespace godwit::entry {

namespace {

// Maximum number of requests to a server that one message may report.
constexpr std::uint32_t max_sends = 100'000;

} // namespace

wire::server_limit to_wire(
    const placement::server_limit& limit, unsigned sends, core::time_point now)
{
    return wire::server_limit{
        limit.server.value(),
        limit.start.unix_ms,
        limit.per_second.has_value(),
        limit.per_second.value_or(0),
        wire_age_ms(now - limit.answered_at),
        sends};
}

core::result<placement::server_limit>
to_server_limit(const wire::server_limit& received, core::time_point now)
{
    const bool is_valid =
        !received.server.empty() && std::isfinite(received.per_second) &&
        received.per_second >= 0 &&
        received.per_second <= placement::server_limit::max_per_second &&
        received.sends <= max_sends;
    if (!is_valid)
        return core::fail(
            core::error_kind::protocol,
            "a server limit from a neighbour has no server id or a value out "
            "of range",
            "check that the neighbour runs this release");
    placement::server_limit limit{
        placement::server_id(received.server),
        placement::server_start{received.started_at_ms},
        std::nullopt,
        now - std::chrono::milliseconds(received.age_ms)};
    if (received.limited)
        limit.per_second = received.per_second;
    return limit;
}

void record_request(entry_context& context, const placement::server_id& server)
{
    const core::time_point now = core::monotonic_now();
    if (context.limits.record_requests(server, 1, now) &&
        context.broadcast_limit)
        context.broadcast_limit(*context.limits.find(server), 1);
    record_request_to_cold_server(context, server);
}

void update_limit(
    entry_context& context,
    const placement::backend_server& server,
    const response_metadata& metadata,
    core::time_point sent_at)
{
    if (metadata.has_invalid_limit) {
        context.metrics
            ->counter(
                "godwit_refused_limits_total",
                "Answers of servers that name a limit which is none.")
            .Increment();
        if (context.servers_with_invalid_limit.insert(server.id).second)
            log_invalid_server_limit(server.id);
        return;
    }
    if (!metadata.requests_per_second && context.limits.empty())
        return;
    const placement::server_limit limit{
        server.id,
        server.start,
        metadata.requests_per_second,
        core::monotonic_now()};
    const auto changed = context.limits.update_from_answer(limit, sent_at);
    if (!changed)
        return;
    log_server_limit(context.settings.host.value(), *changed);
    if (context.broadcast_limit)
        context.broadcast_limit(*changed, 0);
}

} // namespace godwit::entry
