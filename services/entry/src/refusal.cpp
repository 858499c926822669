#include <godwit/entry/refusal.hpp>

#include <godwit/admission/shutdown_schedule.hpp>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <array>
#include <chrono>
#include <cstdio>
#include <string>

namespace godwit::entry {

namespace {

constexpr unsigned unauthorised = 401;
constexpr unsigned not_found = 404;
constexpr unsigned bad_gateway = 502;
constexpr unsigned unavailable = 503;
constexpr unsigned gateway_timeout = 504;

unsigned status_of(refusal_reason reason)
{
    switch (reason) {
    case refusal_reason::no_such_route:
        return not_found;
    case refusal_reason::unknown_key:
        return unauthorised;
    case refusal_reason::answer_lost:
    case refusal_reason::answer_spoiled:
        return bad_gateway;
    case refusal_reason::out_of_time:
        return gateway_timeout;
    case refusal_reason::no_routes:
    case refusal_reason::routes_outdated:
    case refusal_reason::no_server:
    case refusal_reason::no_room:
    case refusal_reason::no_memory:
    case refusal_reason::servers_refused:
    case refusal_reason::servers_limited:
    case refusal_reason::zones_evacuated:
    case refusal_reason::no_allowed_region:
    case refusal_reason::regions_without_server:
    case refusal_reason::quarantined:
    case refusal_reason::host_stopping:
        return unavailable;
    }
    return unavailable;
}

std::string format_seconds(core::duration duration)
{
    std::array<char, 32> text{};
    const double seconds = std::chrono::duration<double>(duration).count();
    std::snprintf(text.data(), text.size(), "%.2f", seconds);
    return text.data();
}

http::response problem(std::string_view title, std::string_view outcome)
{
    http::response response;
    response.fields.set("Content-Type", "application/problem+json");
    boost::json::object body;
    body["title"] = title;
    body["outcome"] = outcome;
    response.body = boost::json::serialize(body);
    return response;
}

} // namespace

std::string_view to_string(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::no_routes:
        return "no_routes";
    case refusal_reason::routes_outdated:
        return "routes_outdated";
    case refusal_reason::no_such_route:
        return "no_such_route";
    case refusal_reason::unknown_key:
        return "unknown_key";
    case refusal_reason::no_server:
        return "no_server";
    case refusal_reason::no_room:
        return "no_room";
    case refusal_reason::no_memory:
        return "no_memory";
    case refusal_reason::servers_refused:
        return "servers_refused";
    case refusal_reason::servers_limited:
        return "servers_limited";
    case refusal_reason::zones_evacuated:
        return "zones_evacuated";
    case refusal_reason::no_allowed_region:
        return "no_allowed_region";
    case refusal_reason::regions_without_server:
        return "regions_without_server";
    case refusal_reason::quarantined:
        return "quarantined";
    case refusal_reason::host_stopping:
        return "host_stopping";
    case refusal_reason::answer_lost:
        return "answer_lost";
    case refusal_reason::answer_spoiled:
        return "answer_spoiled";
    case refusal_reason::out_of_time:
        return "out_of_time";
    }
    return "no_room";
}

core::outcome outcome_of(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::answer_lost:
    case refusal_reason::answer_spoiled:
    case refusal_reason::out_of_time:
        return core::outcome::unknown;
    default:
        return core::outcome::not_run;
    }
}

http::response make_refusal_response(
    refusal_reason reason, std::optional<core::duration> retry_after)
{
    http::response response =
        problem(to_string(reason), core::to_string(outcome_of(reason)));
    response.status = status_of(reason);
    if (retry_after)
        response.fields.set("Retry-After", format_seconds(*retry_after));
    if (reason == refusal_reason::unknown_key)
        response.fields.set("WWW-Authenticate", "Bearer");
    return response;
}

http::response make_rejection_response(const http::rejection& rejection)
{
    // A handler may have sent the request before it failed.
    const bool reached_handler =
        rejection.reason == http::rejection_reason::handler_failed;
    const core::outcome outcome =
        reached_handler ? core::outcome::unknown : core::outcome::not_run;
    http::response response =
        problem(http::to_string(rejection.reason), core::to_string(outcome));
    response.status = rejection.status;
    if (rejection.reason == http::rejection_reason::stopping)
        response.fields.set(
            "Retry-After", format_seconds(admission::shutdown_retry_after));
    if (rejection.reason == http::rejection_reason::no_room ||
        rejection.reason == http::rejection_reason::too_many_connections)
        response.fields.set("Retry-After", format_seconds(room_retry_after));
    return response;
}

} // namespace godwit::entry
