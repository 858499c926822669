#include <godwit/entry/refusal.hpp>

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
    case refusal_reason::no_server:
    case refusal_reason::no_room:
    case refusal_reason::servers_refused:
    case refusal_reason::servers_limited:
    case refusal_reason::quarantined:
        return unavailable;
    }
    return unavailable;
}

std::string seconds_text(core::duration span)
{
    std::array<char, 32> text{};
    const double seconds = std::chrono::duration<double>(span).count();
    std::snprintf(text.data(), text.size(), "%.2f", seconds);
    return text.data();
}

http::response problem(std::string_view title, std::string_view outcome)
{
    http::response answer;
    answer.fields.set("Content-Type", "application/problem+json");
    boost::json::object body;
    body["title"] = title;
    body["outcome"] = outcome;
    answer.body = boost::json::serialize(body);
    return answer;
}

} // namespace

std::string_view to_string(refusal_reason reason) noexcept
{
    switch (reason) {
    case refusal_reason::no_routes:
        return "no_routes";
    case refusal_reason::no_such_route:
        return "no_such_route";
    case refusal_reason::unknown_key:
        return "unknown_key";
    case refusal_reason::no_server:
        return "no_server";
    case refusal_reason::no_room:
        return "no_room";
    case refusal_reason::servers_refused:
        return "servers_refused";
    case refusal_reason::servers_limited:
        return "servers_limited";
    case refusal_reason::quarantined:
        return "quarantined";
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
    http::response answer =
        problem(to_string(reason), core::to_string(outcome_of(reason)));
    answer.status = status_of(reason);
    if (retry_after)
        answer.fields.set("Retry-After", seconds_text(*retry_after));
    if (reason == refusal_reason::unknown_key)
        answer.fields.set("WWW-Authenticate", "Bearer");
    return answer;
}

http::response make_rejection_response(const http::rejection& why)
{
    // A handler that failed may have sent the request before it did.
    const bool reached_handler =
        why.reason == http::rejection_reason::handler_failed;
    const core::outcome outcome =
        reached_handler ? core::outcome::unknown : core::outcome::not_run;
    http::response answer =
        problem(http::to_string(why.reason), core::to_string(outcome));
    answer.status = why.status;
    return answer;
}

} // namespace godwit::entry
