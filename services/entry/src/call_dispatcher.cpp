#include <godwit/entry/call_dispatcher.hpp>

#include <godwit/core/hash.hpp>
#include <godwit/entry/async_sleep.hpp>
#include <godwit/entry/buffered_call.hpp>
#include <godwit/entry/call_log.hpp>
#include <godwit/entry/stream_call.hpp>
#include <godwit/telemetry/log.hpp>

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// Sent as Retry-After by a host that lacks a route table, or its newest
// version.
constexpr core::duration table_retry_after = std::chrono::milliseconds(300);

// How long a request may wait for a route table that this host lacks, and how
// often the host checks for it. A caller needs the rest of its time to repeat
// the request.
constexpr core::duration max_table_wait = std::chrono::seconds(1);
constexpr int table_wait_divisor = 2;
constexpr core::duration table_poll_interval = std::chrono::milliseconds(10);

// Whether callers do not retry after a refusal with this reason.
bool is_final(refusal_reason reason)
{
    return reason == refusal_reason::no_such_route ||
           reason == refusal_reason::unknown_key;
}

core::duration longest_table_wait(const request_metadata& metadata)
{
    if (!metadata.time_left)
        return max_table_wait;
    return std::min<core::duration>(
        max_table_wait, *metadata.time_left / table_wait_divisor);
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// Chooses one of a route's services in proportion to their weights. The same
// attempt always gets the same service.
const routing::service* choose_service(
    const routing::route_table& routes,
    const routing::route& route,
    std::string_view attempt_id)
{
    double sum = 0;
    for (const routing::weighted_service& one : route.services)
        sum += one.weight;
    constexpr auto max_hash =
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    double point =
        sum * static_cast<double>(core::stable_hash(attempt_id)) / max_hash;
    for (const routing::weighted_service& one : route.services) {
        point -= one.weight;
        if (point <= 0)
            return routes.find_service(one.service);
    }
    return routes.find_service(route.services.back().service);
}

} // namespace

asio::awaitable<void> call_dispatcher::serve(http::exchange& exchange)
{
    const core::time_point arrival_time = core::monotonic_now();
    const http::request& received = exchange.received();
    context_.link.record_received(received.body.size(), arrival_time);
    request_metadata metadata =
        context_.codec.read_request_metadata(received.fields);
    auto found = co_await resolve_by_newest_table(
        received, metadata, arrival_time + longest_table_wait(metadata));
    if (!found) {
        co_await refuse(exchange, metadata.attempt_id, found.error());
        co_return;
    }
    const routing::route& route = *found->route;
    if (!context_.settings.regions.has_zone_in(found->allowed_regions)) {
        log_no_allowed_region(*found);
        const unrouted_call rejected{
            refusal_reason::no_allowed_region, route.name};
        co_await refuse(exchange, metadata.attempt_id, rejected);
        co_return;
    }
    const routing::service* service =
        choose_service(*found->routes, route, metadata.attempt_id);
    const core::duration timeout =
        std::min(metadata.time_left.value_or(route.timeout), route.timeout);
    routed_call call{
        exchange,
        std::move(metadata),
        found->routes,
        route,
        *service,
        std::move(found->organisation),
        found->priority,
        arrival_time,
        arrival_time + timeout,
        std::move(found->allowed_regions)};
    if (route.mode == routing::response_mode::event_stream) {
        const auto stream =
            std::make_shared<stream_call>(context_, std::move(call));
        co_await stream->run();
        co_return;
    }
    const auto buffered =
        std::make_shared<buffered_call>(context_, std::move(call));
    co_await buffered->run();
}

// Callers do not repeat a request that is denied, so that none is denied by a
// table which is known to be outdated.
asio::awaitable<tl::expected<
    call_dispatcher::resolved_call,
    call_dispatcher::unrouted_call>>
call_dispatcher::resolve_by_newest_table(
    const http::request& received,
    const request_metadata& metadata,
    core::time_point end) const
{
    if (context_.is_refreshing()) {
        co_await wait_while(context_.is_refreshing, end);
        if (context_.is_refreshing())
            co_return tl::unexpected(
                unrouted_call{refusal_reason::routes_outdated, ""});
    }
    auto found = resolve(received, metadata);
    if (found || !is_final(found.error().reason) ||
        !context_.may_have_stale_routes())
        co_return found;
    co_await wait_while(context_.may_have_stale_routes, end);
    found = resolve(received, metadata);
    if (!found && is_final(found.error().reason) &&
        context_.may_have_stale_routes())
        found.error().reason = refusal_reason::routes_outdated;
    co_return found;
}

tl::expected<call_dispatcher::resolved_call, call_dispatcher::unrouted_call>
call_dispatcher::resolve(
    const http::request& received, const request_metadata& metadata) const
{
    const auto& routes = context_.routes;
    if (!routes)
        return tl::unexpected(unrouted_call{refusal_reason::no_routes, ""});
    const auto host = received.fields.find("Host").value_or("");
    const routing::route* route =
        routes->find_route(host, path_of(received.target));
    if (route == nullptr)
        return tl::unexpected(unrouted_call{refusal_reason::no_such_route, ""});
    resolved_call found{
        routes, route, std::nullopt, route->priority, route->allowed_regions};
    if (!routes->has_organisations() || route->is_public)
        return found;
    const routing::organisation* organisation =
        routes->find_organisation(metadata.key);
    if (organisation == nullptr)
        return tl::unexpected(
            unrouted_call{refusal_reason::unknown_key, route->name});
    found.organisation = organisation->name;
    found.priority = organisation->priority.value_or(route->priority);
    found.allowed_regions =
        route->allowed_regions.intersection(organisation->allowed_regions);
    return found;
}

void call_dispatcher::log_no_allowed_region(const resolved_call& found)
{
    const std::uint64_t version = found.routes->version();
    if (region_logged_version_ == version)
        return;
    region_logged_version_ = version;
    telemetry::log_event(
        telemetry::log_level::warning,
        "entry",
        "no_allowed_region",
        {{"version", version},
         {"route", found.route->name},
         {"organisation",
          found.organisation.value_or(core::organisation_name())}});
}

asio::awaitable<void> call_dispatcher::wait_while(
    std::function<bool()> is_outdated, core::time_point end) const
{
    const auto must_respond = [this](core::time_point now) {
        return context_.shutdown && now >= context_.shutdown->response_end();
    };
    while (is_outdated() && core::monotonic_now() < end &&
           !must_respond(core::monotonic_now()))
        co_await async_sleep(context_.executor, table_poll_interval);
}

asio::awaitable<void> call_dispatcher::refuse(
    http::exchange& exchange,
    std::string_view attempt_id,
    const unrouted_call& unrouted)
{
    const refusal_reason reason = unrouted.reason;
    const auto routes = context_.routes;
    log_unrouted(
        attempt_id,
        unrouted.route,
        exchange.received(),
        reason,
        routes ? routes->version() : 0);
    context_.metrics
        ->counter(
            "godwit_unrouted_total",
            "Requests without a route, a known key or a table.",
            {core::service_name("none"),
             core::request_class_name(std::string(to_string(reason))),
             outcome_of(reason)})
        .Increment();
    const bool may_retry = reason == refusal_reason::no_routes ||
                           reason == refusal_reason::routes_outdated;
    http::response response = make_refusal_response(
        reason,
        may_retry ? std::optional<core::duration>(table_retry_after)
                  : std::nullopt);
    [[maybe_unused]] const auto sent =
        co_await exchange.respond(std::move(response));
}

} // namespace godwit::entry
