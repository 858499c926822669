#include "peer_calls.hpp"

#include <godwit/core/timer.hpp>
#include <godwit/http/fetch.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <charconv>
#include <chrono>
#include <utility>

namespace godwit::proxy {

namespace asio = boost::asio;

namespace {

constexpr unsigned ok = 200;
constexpr unsigned still_running = 202;
constexpr unsigned conflict = 409;
constexpr std::chrono::seconds longest_announcement{2};
// Longer than the other side holds a question open.
constexpr std::chrono::seconds longest_question{15};
constexpr std::size_t answer_bytes = std::size_t{64} * 1024 * 1024;

// A run that has not begun is about to, or its claim is being given back:
// both are settled in a moment.
constexpr std::chrono::milliseconds not_started_pause{100};

http::request question_for(const claimed_run& run)
{
    http::request question;
    question.target = "/runs/" + run.key.to_string() +
                      "?request=" + run.request.to_string() +
                      "&offset=" + std::to_string(run.position.offset) +
                      "&index=" + std::to_string(run.position.index);
    return question;
}

asio::awaitable<void> pause(core::duration span)
{
    core::timer timer(co_await asio::this_coro::executor, span);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

core::result<claims::kept_answer> kept_answer_of(http::response answer)
{
    const auto status = answer.fields.find("Godwit-Kept-Status");
    unsigned number = 0;
    if (status)
        std::from_chars(
            status->data(), status->data() + status->size(), number);
    if (number == 0)
        return core::fail(
            core::error_kind::protocol,
            "the other entry host's answer has no status",
            "check that all entry hosts run one release");
    claims::kept_answer kept;
    kept.status = number;
    kept.content_type =
        std::string(answer.fields.find("Content-Type").value_or(""));
    kept.body = std::move(answer.body);
    return kept;
}

} // namespace

asio::awaitable<core::result<claims::kept_answer>>
fetch_claimed_answer(claimed_run run, core::time_point deadline)
{
    const auto peer = http::endpoint::parse(run.holder.peer_address);
    if (!peer)
        co_return tl::unexpected(peer.error());
    while (core::monotonic_now() < deadline) {
        auto answer = co_await http::fetch(
            *peer, question_for(run), {longest_question, answer_bytes});
        if (!answer)
            co_return tl::unexpected(answer.error().cause);
        if (answer->status == ok)
            co_return kept_answer_of(*std::move(answer));
        if (answer->status == conflict) {
            co_await pause(not_started_pause);
            co_return core::fail(
                core::error_kind::not_found,
                "no run began under the claim",
                "ask again with the same idempotency key");
        } else if (answer->status != still_running) {
            co_return core::fail(
                core::error_kind::expired,
                "the answer is no longer kept",
                "look at the service whether the request ran");
        }
    }
    co_return core::fail(
        core::error_kind::timeout,
        "the run did not end in time",
        "ask again with the same idempotency key");
}

asio::awaitable<void>
announce_resumed(std::string peer, core::generation_id generation)
{
    const auto address = http::endpoint::parse(peer);
    if (!address)
        co_return;
    http::request message;
    message.method = "POST";
    message.target = "/resumed/" + generation.value();
    co_await http::fetch(
        *address, std::move(message), {longest_announcement, answer_bytes});
}

} // namespace godwit::proxy
