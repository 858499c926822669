#include "peers_service.hpp"

#include "request_session.hpp"

#include <godwit/core/timer.hpp>
#include <godwit/http/target.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

namespace godwit::proxy {

namespace asio = boost::asio;

namespace {

constexpr unsigned ok = 200;
constexpr unsigned still_running = 202;
constexpr unsigned bad_request = 400;
constexpr unsigned not_found = 404;
constexpr unsigned conflict = 409;
constexpr unsigned gone = 410;

// How long a question about a run that goes on is held open, and how often
// it is looked at: a retry of a caller, so there are few.
constexpr std::chrono::seconds held_open{10};
constexpr std::chrono::milliseconds look_interval{25};

http::response with_status(unsigned status)
{
    http::response answer;
    answer.status = status;
    return answer;
}

template<class Number>
std::optional<Number>
number_parameter(const std::string& target, std::string_view name)
{
    const auto text = http::query_parameter(target, name);
    Number number = 0;
    if (!text)
        return std::nullopt;
    const char* const last = text->data() + text->size();
    const auto [end, failure] = std::from_chars(text->data(), last, number);
    if (failure != std::errc() || end != last)
        return std::nullopt;
    return number;
}

/// What a question about a run names.
struct run_question
{
    claims::claim_key key;
    claims::request_fingerprint request;
    claims::claim_position position;
};

std::optional<run_question> read_question(const std::string& target)
{
    const auto path = http::path_segments(target);
    const auto fingerprint = http::query_parameter(target, "request");
    const auto offset = number_parameter<std::uint64_t>(target, "offset");
    const auto index = number_parameter<std::uint32_t>(target, "index");
    if (path.size() != 2 || !fingerprint || !offset || !index)
        return std::nullopt;
    const auto key = claims::claim_key::parse(path[1]);
    const auto request = claims::request_fingerprint::parse(*fingerprint);
    if (!key || !request)
        return std::nullopt;
    return run_question{*key, *request, {*offset, *index}};
}

http::response kept(const claims::kept_answer& answer)
{
    http::response response = with_status(ok);
    response.fields.set("Content-Type", answer.content_type);
    response.fields.set("Godwit-Kept-Status", std::to_string(answer.status));
    response.body = answer.body;
    return response;
}

} // namespace

peers_service::peers_service(session_services& services) : services_(services)
{}

asio::awaitable<void> peers_service::serve(http::exchange& with)
{
    const auto& received = with.received();
    http::response answer = with_status(not_found);
    if (received.method == "GET" && received.target.starts_with("/runs/"))
        answer = co_await find_run(received);
    else if (
        received.method == "POST" && received.target.starts_with("/resumed/"))
        answer = take_resumed(received);
    co_await with.respond(std::move(answer));
}

asio::awaitable<http::response> peers_service::find_run(http::request received)
{
    const auto question = read_question(received.target);
    if (!question)
        co_return with_status(bad_request);
    const auto until = core::monotonic_now() + held_open;
    core::timer timer(co_await asio::this_coro::executor);
    while (core::monotonic_now() < until) {
        const auto found = services_.answers.find(
            question->key, question->request, question->position);
        if (const auto* run = std::get_if<claims::run_kept>(&found))
            co_return kept(*run->answer);
        if (std::holds_alternative<claims::run_not_started>(found)) {
            services_.claims.release_if_idle(
                question->key, question->request, question->position);
            co_return with_status(conflict);
        }
        if (!std::holds_alternative<claims::run_attach>(found))
            co_return with_status(gone);
        timer.expires_after(look_interval);
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    co_return with_status(still_running);
}

http::response peers_service::take_resumed(const http::request& received)
{
    const auto path = http::path_segments(received.target);
    if (path.size() != 2)
        return with_status(bad_request);
    const auto session = services_.registry.find(request_of(path[1]));
    if (!session)
        return with_status(not_found);
    session->post(request::resumed_elsewhere{core::generation_id(path[1])});
    return with_status(ok);
}

} // namespace godwit::proxy
