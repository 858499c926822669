#include <godwit/entry/call_dispatcher.hpp>

#include <godwit/core/hash.hpp>
#include <godwit/entry/async_sleep.hpp>
#include <godwit/entry/buffered_call.hpp>
#include <godwit/entry/call_log.hpp>
#include <godwit/entry/stream_call.hpp>

#include <algorithm>
#include <limits>
#include <memory>
#include <optional>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;

namespace {

// When a caller that met a starting host should come back.
constexpr core::duration start_come_back = std::chrono::milliseconds(300);

// How long a request may wait for a table that this host lacks, and how often
// it looks.
constexpr core::duration longest_table_wait = std::chrono::seconds(1);
constexpr core::duration table_look = std::chrono::milliseconds(10);

// Callers do not come back after these.
bool is_final(refusal_reason reason)
{
    return reason == refusal_reason::no_such_route ||
           reason == refusal_reason::unknown_key;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// The service of a route with several, in proportion to their weights; the
// same attempt always goes the same way.
const routing::service* pick_service(
    const routing::route_table& routes,
    const routing::route& route,
    std::string_view attempt_id)
{
    double sum = 0;
    for (const routing::weighted_service& one : route.services)
        sum += one.weight;
    constexpr auto most =
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    double point =
        sum * static_cast<double>(core::stable_hash(attempt_id)) / most;
    for (const routing::weighted_service& one : route.services) {
        point -= one.weight;
        if (point <= 0)
            return routes.find_service(one.service);
    }
    return routes.find_service(route.services.back().service);
}

} // namespace

asio::awaitable<void> call_dispatcher::serve(http::exchange& caller)
{
    const core::time_point arrived = core::monotonic_now();
    const http::request& received = caller.received();
    request_metadata terms =
        context_.codec.read_request_metadata(received.fields);
    if (context_.is_refreshing())
        co_await wait_while(context_.is_refreshing);
    auto found = resolve(received, terms);
    if (!found && is_final(found.error().reason) &&
        context_.may_have_stale_routes()) {
        co_await wait_while(context_.may_have_stale_routes);
        found = resolve(received, terms);
    }
    if (!found) {
        co_await refuse(caller, terms.attempt_id, found.error());
        co_return;
    }
    const routing::route& route = *found->route;
    const routing::service* target =
        pick_service(*found->routes, route, terms.attempt_id);
    const core::duration span =
        std::min(terms.time_left.value_or(route.timeout), route.timeout);
    routed_call call{
        caller,
        std::move(terms),
        found->routes,
        route,
        *target,
        std::move(found->organisation),
        found->priority,
        arrived,
        arrived + span};
    if (route.mode == routing::response_mode::event_stream) {
        const auto stream =
            std::make_shared<stream_call>(context_, std::move(call));
        co_await stream->run();
        co_return;
    }
    const auto whole =
        std::make_shared<buffered_call>(context_, std::move(call));
    co_await whole->run();
}

tl::expected<call_dispatcher::resolved_call, call_dispatcher::unrouted_call>
call_dispatcher::resolve(
    const http::request& received, const request_metadata& terms) const
{
    const auto& routes = context_.routes;
    if (!routes)
        return tl::unexpected(unrouted_call{refusal_reason::no_routes, ""});
    const auto host = received.fields.find("Host").value_or("");
    const routing::route* route =
        routes->find_route(host, path_of(received.target));
    if (route == nullptr)
        return tl::unexpected(unrouted_call{refusal_reason::no_such_route, ""});
    resolved_call found{routes, route, std::nullopt, route->priority};
    if (!routes->has_organisations() || route->is_public)
        return found;
    const routing::organisation* holder = routes->find_organisation(terms.key);
    if (holder == nullptr)
        return tl::unexpected(
            unrouted_call{refusal_reason::unknown_key, route->name});
    found.organisation = holder->name;
    found.priority = holder->priority.value_or(route->priority);
    return found;
}

asio::awaitable<void>
call_dispatcher::wait_while(std::function<bool()> is_outdated) const
{
    const core::time_point end = core::monotonic_now() + longest_table_wait;
    while (is_outdated() && core::monotonic_now() < end)
        co_await async_sleep(context_.executor, table_look);
}

asio::awaitable<void> call_dispatcher::refuse(
    http::exchange& caller,
    std::string_view attempt_id,
    const unrouted_call& unrouted)
{
    const refusal_reason reason = unrouted.reason;
    const auto routes = context_.routes;
    log_unrouted(
        attempt_id,
        unrouted.route,
        caller.received(),
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
    const bool can_come_back = reason == refusal_reason::no_routes;
    http::response answer = make_refusal_response(
        reason,
        can_come_back ? std::optional<core::duration>(start_come_back)
                      : std::nullopt);
    [[maybe_unused]] const auto sent =
        co_await caller.respond(std::move(answer));
}

} // namespace godwit::entry
