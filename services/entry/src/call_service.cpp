#include <godwit/entry/call_service.hpp>

#include <godwit/core/hash.hpp>
#include <godwit/entry/call_log.hpp>
#include <godwit/entry/stream_call.hpp>
#include <godwit/entry/whole_call.hpp>

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

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// The service of a route with several, in proportion to their weights; the
// same attempt always goes the same way.
const routing::service* pick_service(
    const routing::route_table& routes,
    const routing::route& via,
    std::string_view attempt_id)
{
    double sum = 0;
    for (const routing::weighted_service& one : via.services)
        sum += one.weight;
    constexpr auto most =
        static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    double point =
        sum * static_cast<double>(core::stable_hash(attempt_id)) / most;
    for (const routing::weighted_service& one : via.services) {
        point -= one.weight;
        if (point <= 0)
            return routes.find_service(one.service);
    }
    return routes.find_service(via.services.back().service);
}

} // namespace

asio::awaitable<void> call_service::serve(http::exchange& caller)
{
    const core::time_point arrived = core::monotonic_now();
    const http::request& received = caller.received();
    call_terms terms = context_.words.read_call(received.fields);
    const auto routes = context_.routes;
    if (!routes) {
        co_await refuse(
            caller, terms.attempt_id, "", refusal_reason::no_routes);
        co_return;
    }
    const auto host = received.fields.find("Host").value_or("");
    const routing::route* via =
        routes->find_route(host, path_of(received.target));
    if (via == nullptr) {
        co_await refuse(
            caller, terms.attempt_id, "", refusal_reason::no_such_route);
        co_return;
    }
    std::optional<core::organisation_name> organisation;
    int priority = via->priority;
    if (routes->has_organisations() && !via->is_public) {
        const routing::organisation* holder =
            routes->find_organisation(terms.key);
        if (holder == nullptr) {
            co_await refuse(
                caller,
                terms.attempt_id,
                via->name,
                refusal_reason::unknown_key);
            co_return;
        }
        organisation = holder->name;
        priority = holder->priority.value_or(priority);
    }
    const routing::service* target =
        pick_service(*routes, *via, terms.attempt_id);
    const core::duration span =
        std::min(terms.time_left.value_or(via->timeout), via->timeout);
    accepted_call call{
        caller,
        std::move(terms),
        routes,
        *via,
        *target,
        std::move(organisation),
        priority,
        arrived,
        arrived + span};
    if (via->form == routing::answer_form::event_stream) {
        const auto stream =
            std::make_shared<stream_call>(context_, std::move(call));
        co_await stream->run();
        co_return;
    }
    const auto whole = std::make_shared<whole_call>(context_, std::move(call));
    co_await whole->run();
}

asio::awaitable<void> call_service::refuse(
    http::exchange& caller,
    std::string_view attempt_id,
    std::string_view route,
    refusal_reason reason)
{
    const auto routes = context_.routes;
    log_unrouted(
        attempt_id,
        route,
        caller.received(),
        reason,
        routes ? routes->version() : 0);
    context_.metrics
        ->counter(
            "godwit_unrouted_total",
            "Requests without a route, a known key or a table.",
            {core::service_name("none"),
             core::class_name(std::string(to_string(reason))),
             outcome_of(reason)})
        .Increment();
    const bool can_come_back = reason == refusal_reason::no_routes;
    http::response answer = make_refusal(
        reason,
        can_come_back ? std::optional<core::duration>(start_come_back)
                      : std::nullopt);
    [[maybe_unused]] const auto sent =
        co_await caller.respond(std::move(answer));
}

} // namespace godwit::entry
