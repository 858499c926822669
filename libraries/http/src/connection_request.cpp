#include "connection.hpp"

#include "request_rules.hpp"
#include "server_state.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <array>
#include <chrono>
#include <string_view>
#include <utility>

// Reading one request, and refusing what breaks the rules.

namespace godwit::http {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// After a rejection the caller may still be sending; closing at once would
// reset the connection and lose the answer on its way.
constexpr std::chrono::seconds discard_time{1};
constexpr std::size_t discard_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::string_view continue_head = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

asio::awaitable<std::optional<request>> connection::read_request()
{
    // A request that is refused here is answered before serve() begins, also
    // when the connection has served others.
    phase_ = answer_phase::none;
    request_parser parser;
    parser.header_limit(
        static_cast<std::uint32_t>(server_->limits().header_bytes));
    parser.body_limit(server_->limits().body_bytes);

    is_reading_ = true;
    std::optional<rejection_reason> refused = co_await read_head(parser);
    if (!refused)
        refused = co_await read_body(parser);
    is_reading_ = false;
    // Also when the rest came after all: the receiving side is closed, and
    // would look like a caller that left.
    if (is_reading_stopped_)
        refused = rejection_reason::stopping;
    if (refused) {
        co_await reject(*refused);
        co_return std::nullopt;
    }

    keeps_alive_ = parser.keep_alive();
    takes_chunks_ = parser.get().version() >= 11;
    omits_body_ = parser.get().method() == beast_http::verb::head;
    request received;
    received.method = std::string(parser.get().method_string());
    received.target = std::string(parser.get().target());
    for (const auto& one : parser.get())
        received.fields.add(
            std::string(one.name_string()), std::string(one.value()));
    received.body = std::move(parser.get().body());
    co_return received;
}

asio::awaitable<std::optional<rejection_reason>>
connection::read_head(request_parser& parser)
{
    const deadline guard(
        executor_,
        socket_,
        server_->limits().header_timeout,
        expiry_action::stop_receiving);
    error_code failure;
    co_await beast_http::async_read_header(
        socket_,
        buffer_,
        parser,
        asio::redirect_error(asio::use_awaitable, failure));
    // Also when the rest came after all: the receiving side is closed, and
    // would look like a caller that left.
    if (guard.has_expired())
        co_return rejection_reason::slow_header;
    if (failure)
        co_return classify_head_failure(failure);
    if (breaks_framing_rules(parser.get()))
        co_return rejection_reason::malformed;
    co_return std::nullopt;
}

asio::awaitable<std::optional<rejection_reason>>
connection::read_body(request_parser& parser)
{
    if (parser.is_done())
        co_return std::nullopt;
    const deadline guard(
        executor_,
        socket_,
        server_->limits().body_timeout,
        expiry_action::stop_receiving);
    error_code failure;
    if (expects_continue(parser.get())) {
        const auto invitation = asio::buffer(continue_head);
        co_await asio::async_write(
            socket_,
            invitation,
            asio::redirect_error(asio::use_awaitable, failure));
    }
    if (!failure)
        co_await beast_http::async_read(
            socket_,
            buffer_,
            parser,
            asio::redirect_error(asio::use_awaitable, failure));
    if (guard.has_expired())
        co_return rejection_reason::slow_body;
    if (failure)
        co_return classify_body_failure(failure);
    co_return std::nullopt;
}

asio::awaitable<void> connection::reject(rejection_reason reason)
{
    keeps_alive_ = false;
    const rejection refused = make_rejection(reason);
    response answer = server_->answer_to(refused);
    const auto sent = co_await respond(std::move(answer));
    if (sent)
        co_await discard_rest();
}

asio::awaitable<void> connection::discard_rest()
{
    error_code failure;
    socket_.shutdown(tcp::socket::shutdown_send, failure);
    const deadline guard(
        executor_, socket_, discard_time, expiry_action::close);
    std::size_t discarded = 0;
    std::array<char, read_size> bytes{};
    while (!failure && discarded < discard_bytes) {
        const auto space = asio::buffer(bytes);
        discarded += co_await socket_.async_read_some(
            space, asio::redirect_error(asio::use_awaitable, failure));
    }
}

} // namespace godwit::http
