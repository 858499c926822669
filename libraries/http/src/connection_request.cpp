#include "connection.hpp"

#include "request_rules.hpp"
#include "server_state.hpp"

#include <godwit/http/growing_body.hpp>
#include <godwit/http/take_room.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
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
// A head is held as it was received and as it is passed on.
constexpr std::size_t head_copies = 2;
// Smaller ones have room in what each connection holds.
constexpr std::size_t small_head_bytes = std::size_t{2} * 1024;
constexpr std::string_view continue_head = "HTTP/1.1 100 Continue\r\n\r\n";

} // namespace

asio::awaitable<std::optional<request>> connection::read_request()
{
    // A request that is refused here is answered before serve() begins, also
    // when the connection has served others.
    phase_ = answer_phase::none;
    is_evicted_ = false;
    set_activity(memory::activity::receiving);
    std::optional<rejection_reason> refused;
    std::optional<request> received;
    {
        request_parser parser;
        refused = co_await read_whole(parser);
        if (!refused)
            received = take_request(parser);
    }
    // What was read of the request is gone by now.
    if (refused)
        co_await reject(*refused);
    co_return received;
}

asio::awaitable<std::optional<rejection_reason>>
connection::read_whole(request_parser& parser)
{
    const server_limits limits = server_->limits();
    parser.header_limit(static_cast<std::uint32_t>(limits.header_bytes));
    parser.body_limit(std::min(
        limits.body_bytes, server_->account().limits().largest_body_bytes()));
    is_reading_ = true;
    std::optional<rejection_reason> refused = co_await read_head(parser);
    if (!refused)
        refused = co_await read_body(parser);
    is_reading_ = false;
    // Also when the rest came after all: the receiving side is closed, and
    // would look like a caller that left.
    if (is_reading_stopped_)
        co_return rejection_reason::stopping;
    if (refused && is_evicted_)
        co_return rejection_reason::no_room;
    co_return refused;
}

request connection::take_request(request_parser& parser)
{
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
    return received;
}

asio::awaitable<std::optional<rejection_reason>>
connection::read_head(request_parser& parser)
{
    const deadline guard(
        executor_,
        socket_,
        server_->limits().header_timeout,
        expiry_action::stop_receiving);
    std::size_t head_bytes = 0;
    error_code failure = beast_http::error::need_more;
    while (failure == beast_http::error::need_more) {
        failure = {};
        std::size_t parsed = 0;
        if (buffer_.size() > 0)
            parsed = parser.put(buffer_.data(), failure);
        buffer_.consume(parsed);
        head_bytes += parsed;
        const bool is_refused =
            failure && failure != beast_http::error::need_more;
        if (parser.is_header_done() || is_refused)
            break;
        failure = co_await read_more();
        if (!failure)
            failure = beast_http::error::need_more;
    }
    if (!failure) {
        const bool has_room = co_await make_head_room(head_bytes);
        if (!has_room)
            failure = asio::error::no_memory;
    }
    // Also when the rest came after all: the receiving side is closed, and
    // would look like a caller that left.
    if (guard.has_expired())
        co_return rejection_reason::slow_header;
    if (failure == asio::error::no_memory)
        co_return rejection_reason::no_room;
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
        failure = co_await read_body_bytes(parser);
    if (guard.has_expired())
        co_return rejection_reason::slow_body;
    if (failure == asio::error::no_memory)
        co_return rejection_reason::no_room;
    if (failure)
        co_return classify_body_failure(failure);
    co_return std::nullopt;
}

asio::awaitable<error_code> connection::read_body_bytes(request_parser& parser)
{
    parser.eager(true);
    while (true) {
        while (buffer_.size() > 0 && !parser.is_done()) {
            const bool has_room = co_await make_body_room(parser.get().body());
            if (!has_room)
                co_return asio::error::no_memory;
            error_code failure;
            const std::size_t parsed = parser.put(buffer_.data(), failure);
            buffer_.consume(parsed);
            if (failure && failure != beast_http::error::need_more)
                co_return failure;
            if (parsed == 0)
                break;
        }
        if (parser.is_done())
            co_return error_code();
        const error_code failure = co_await read_more();
        if (failure == asio::error::eof)
            co_return beast_http::error::partial_message;
        if (failure)
            co_return failure;
    }
}

asio::awaitable<error_code> connection::read_more()
{
    if (buffer_.size() == buffer_.max_size())
        co_return beast_http::error::buffer_overflow;
    const bool has_room = co_await make_buffer_room();
    if (!has_room)
        co_return asio::error::no_memory;
    error_code failure;
    std::size_t count = 0;
    do {
        count = socket_.read_some(buffer_.prepare(next_read_size()), failure);
        if (failure != asio::error::would_block)
            break;
        co_await socket_.async_wait(
            tcp::socket::wait_read,
            asio::redirect_error(asio::use_awaitable, failure));
        if (is_evicted_)
            co_return asio::error::no_memory;
    } while (!failure);
    buffer_.commit(count);
    record_progress(count);
    co_return failure;
}

asio::awaitable<bool> connection::make_buffer_room()
{
    const std::size_t excess = buffer_excess(next_buffer_capacity());
    const std::size_t held = buffer_excess(buffer_.capacity());
    if (excess <= held)
        co_return true;
    const bool has_room = co_await take_room(
        held_, {excess - held, 0}, core::monotonic_now() + room_timeout);
    co_return has_room && !is_evicted_;
}

asio::awaitable<bool> connection::make_head_room(std::size_t bytes)
{
    if (bytes <= small_head_bytes)
        co_return true;
    const bool has_room = co_await take_room(
        held_, {head_copies * bytes, 0}, core::monotonic_now() + room_timeout);
    co_return has_room && !is_evicted_;
}

asio::awaitable<bool> connection::make_body_room(std::string& body)
{
    const std::size_t before = body.capacity();
    const std::size_t capacity =
        grown_capacity(before, body.size() + buffer_.size());
    if (capacity == before)
        co_return true;
    const bool has_room = co_await take_room(
        held_, {capacity - before, 0}, core::monotonic_now() + room_timeout);
    if (!has_room || is_evicted_)
        co_return false;
    grow_to(body, capacity);
    co_return true;
}

asio::awaitable<void> connection::reject(rejection_reason reason)
{
    keeps_alive_ = false;
    buffer_.clear();
    release_request();
    set_activity(memory::activity::closing);
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
