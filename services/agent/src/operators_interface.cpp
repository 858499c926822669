#include "operators_interface.hpp"

#include <godwit/telemetry/log_connection_fault.hpp>
#include <godwit/telemetry/metrics.hpp>

#include <utility>

namespace godwit::agent {

namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_method_not_allowed = 405;
constexpr unsigned status_unavailable = 503;

// Operators and their collectors are few.
constexpr std::size_t connection_limit = 64;

http::response
answer(unsigned status, const char* content_type, std::string body)
{
    http::response response{status, {}, std::move(body)};
    response.fields.set("Content-Type", content_type);
    return response;
}

http::response
respond(const http::request& request, const operators_interface::sources& from)
{
    constexpr const char* text = "text/plain; charset=utf-8";
    if (request.method != "GET")
        return answer(status_method_not_allowed, text, "only GET\n");
    if (request.target == "/healthz")
        return answer(status_ok, text, "ok\n");
    if (request.target == "/readyz")
        return from.is_ready()
                   ? answer(status_ok, text, "ready\n")
                   : answer(status_unavailable, text, "no catalogue yet\n");
    if (request.target == "/metrics")
        return answer(
            status_ok, telemetry::metrics::content_type, from.metrics());
    if (request.target == "/state")
        return answer(status_ok, "application/json", from.state());
    return answer(
        status_not_found, text, "one of /healthz /readyz /metrics /state\n");
}

} // namespace

core::result<std::unique_ptr<operators_interface>> operators_interface::create(
    boost::asio::io_context& context, http::endpoint address, sources answers)
{
    http::server_limits limits;
    limits.connections = connection_limit;
    auto server = GODWIT_TRY(http::server::create(
        context,
        {.address = std::move(address),
         .limits = limits,
         .on_rejection = {},
         .on_fault = &telemetry::log_connection_fault},
        [answers = std::move(answers)](
            http::exchange& exchange) -> boost::asio::awaitable<void> {
            // A caller that is gone needs no answer.
            (void)co_await exchange.respond(
                respond(exchange.received(), answers));
        }));
    return std::unique_ptr<operators_interface>(
        new operators_interface(std::move(server)));
}

} // namespace godwit::agent
