#include "callers_service.hpp"

#include "caller_request_reader.hpp"
#include "health_answer.hpp"
#include "problem.hpp"
#include "request_session.hpp"

#include <godwit/core/wall_clock.hpp>
#include <godwit/telemetry/log.hpp>

#include <chrono>
#include <utility>

namespace godwit::proxy {

namespace asio = boost::asio;

namespace {

constexpr unsigned unavailable = 503;
constexpr unsigned server_error = 500;
constexpr std::chrono::seconds come_back{1};

problem not_ready()
{
    return {
        .status = unavailable,
        .reason = "not_ready",
        .detail = "this entry host has no catalogue yet",
        .remedy = "come back later, or use another entry host",
        .retry_after = come_back};
}

problem too_many_requests()
{
    return {
        .status = unavailable,
        .reason = "in_flight_limit",
        .detail = "this entry host has as many requests as it takes",
        .remedy = "come back later, or use another entry host",
        .retry_after = come_back};
}

http::response with_id(http::response answer, const core::request_id& id)
{
    answer.fields.set("Godwit-Request-Id", id.value());
    return answer;
}

} // namespace

callers_service::callers_service(
    session_services& services,
    const process_state& state,
    core::incarnation_id incarnation)
    : services_(services), state_(state), incarnation_(std::move(incarnation))
{}

core::request_id callers_service::next_id()
{
    return core::request_id(
        services_.settings.host.value() + "." + incarnation_.value() + "-" +
        std::to_string(next_number_.fetch_add(1)));
}

http::response callers_service::refuse(const http::rejection& why)
{
    problem failure;
    failure.status = why.status;
    failure.reason = http::to_string(why.reason);
    failure.detail = why.detail;
    failure.remedy = why.remedy;
    // A handler that failed may have sent the request on.
    if (why.reason == http::rejection_reason::handler_failed)
        failure.outcome = core::outcome::unknown;
    if (why.status == unavailable)
        failure.retry_after = come_back;
    const auto id = next_id();
    log_refusal(id, "", failure);
    return with_id(to_response(failure), id);
}

void callers_service::log_refusal(
    const core::request_id& id, std::string_view peer, const problem& failure)
{
    services_.metrics
        .counter(
            "godwit_refused_requests_total",
            "Requests refused before they had a service.")
        .Increment();
    telemetry::log_event(
        telemetry::log_level::info,
        "proxy",
        "request_refused",
        {{"request", id},
         {"peer", peer},
         {"status", failure.status},
         {"reason", failure.reason},
         {"detail", failure.detail}});
}

asio::awaitable<void> callers_service::serve(http::exchange& with)
{
    if (auto health = health_answer(with.received(), state_)) {
        co_await with.respond(*std::move(health));
        co_return;
    }
    const auto id = next_id();
    co_await serve_request(with, id);
}

asio::awaitable<void>
callers_service::serve_request(http::exchange& with, core::request_id id)
{
    const auto snapshot = services_.snapshots.get();
    std::optional<problem> failure;
    std::shared_ptr<request_session> session;
    if (!snapshot->catalogue) {
        failure = not_ready();
    } else {
        const auto now = std::chrono::duration_cast<std::chrono::seconds>(
            core::wall_clock_now());
        const caller_request_reader reader(
            *snapshot->catalogue, services_.keys, now.count());
        auto request = reader.read(with.received());
        if (request) {
            auto created = request_session::create(
                with.executor(), services_, id, *std::move(request));
            if (created)
                session = *std::move(created);
            else
                failure = problem{
                    .status = server_error,
                    .reason = "settings",
                    .detail = created.error().message(),
                    .remedy = created.error().remedy()};
        } else {
            failure = std::move(request).error();
        }
    }
    if (session && !services_.registry.add(session))
        failure = too_many_requests();
    if (!failure) {
        co_await session->serve(with);
        co_return;
    }
    log_refusal(id, with.peer(), *failure);
    co_await with.respond(with_id(to_response(*failure), id));
}

} // namespace godwit::proxy
