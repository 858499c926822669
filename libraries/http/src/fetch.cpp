#include <godwit/http/fetch.hpp>

#include <boost/asio/this_coro.hpp>

#include <algorithm>
#include <utility>

namespace godwit::http {

namespace asio = boost::asio;

namespace {

/// What is left until a moment; never below zero.
core::duration left_until(core::time_point moment)
{
    return std::max(moment - core::monotonic_now(), core::duration::zero());
}

client_error too_large(const endpoint& server, std::size_t limit)
{
    return {
        core::error(
            core::error_kind::exhausted,
            "the answer of " + server.to_string() + " is larger than " +
                std::to_string(limit) + " bytes",
            "raise the limit or ask for less"),
        bytes_handed_over::some};
}

asio::awaitable<client_result<response>> exchange_on(
    client_stream& stream,
    const endpoint& server,
    request outgoing,
    core::time_point end,
    std::size_t body_limit)
{
    const client_result<void> sent =
        co_await stream.send(std::move(outgoing), left_until(end));
    if (!sent)
        co_return tl::unexpected(sent.error());
    client_result<response_head> head =
        co_await stream.read_head(left_until(end));
    if (!head)
        co_return tl::unexpected(head.error());
    response answer;
    answer.status = head->status;
    answer.fields = std::move(head->fields);
    while (true) {
        client_result<std::optional<std::string>> piece =
            co_await stream.read_some(left_until(end));
        if (!piece)
            co_return tl::unexpected(piece.error());
        if (!piece->has_value())
            co_return answer;
        answer.body += **piece;
        if (answer.body.size() > body_limit)
            co_return tl::unexpected(too_large(server, body_limit));
    }
}

} // namespace

asio::awaitable<client_result<response>> fetch(
    connection_pool& pool,
    endpoint server,
    request outgoing,
    fetch_limits limits)
{
    const core::time_point end = core::monotonic_now() + limits.deadline;
    std::optional<client_stream> stream = pool.take(server);
    if (!stream) {
        client_result<client_stream> opened =
            co_await pool.open(server, left_until(end));
        if (!opened)
            co_return tl::unexpected(opened.error());
        stream = std::move(*opened);
    }
    client_result<response> answer = co_await exchange_on(
        *stream, server, std::move(outgoing), end, limits.body_bytes);
    if (answer)
        pool.give_back(server, std::move(*stream));
    co_return answer;
}

asio::awaitable<client_result<response>> fetch(
    client_stream& connected,
    endpoint server,
    request outgoing,
    fetch_limits limits)
{
    co_return co_await exchange_on(
        connected,
        server,
        std::move(outgoing),
        core::monotonic_now() + limits.deadline,
        limits.body_bytes);
}

asio::awaitable<client_result<response>>
fetch(endpoint server, request outgoing, fetch_limits limits)
{
    const core::time_point end = core::monotonic_now() + limits.deadline;
    const auto executor = co_await asio::this_coro::executor;
    client_stream stream = client_stream::create(executor);
    const client_result<void> connected =
        co_await stream.connect(server, left_until(end));
    if (!connected)
        co_return tl::unexpected(connected.error());
    co_return co_await exchange_on(
        stream, server, std::move(outgoing), end, limits.body_bytes);
}

} // namespace godwit::http
