#include "health_answer.hpp"

#include <string>
#include <utility>

namespace godwit::proxy {

namespace {

constexpr unsigned unavailable = 503;

http::response text(unsigned status, std::string body)
{
    http::response answer;
    answer.status = status;
    answer.fields.set("Content-Type", "text/plain");
    answer.body = std::move(body);
    return answer;
}

} // namespace

std::optional<http::response>
health_answer(const http::request& received, const process_state& state)
{
    constexpr unsigned ok = 200;
    if (received.method != "GET" && received.method != "HEAD")
        return std::nullopt;
    if (received.target == "/healthz")
        return text(ok, "healthy\n");
    if (received.target != "/readyz")
        return std::nullopt;
    if (state.is_ready())
        return text(ok, "ready\n");
    if (state.draining.load())
        return text(unavailable, "stopping\n");
    return text(unavailable, "no catalogue yet\n");
}

} // namespace godwit::proxy
