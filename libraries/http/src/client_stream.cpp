#include <godwit/http/client_stream.hpp>

#include <godwit/http/keepalive.hpp>
#include <godwit/http/listen.hpp>

#include "arriving_body.hpp"
#include "deadline.hpp"
#include "message_head.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace godwit::http {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

using response_parser = beast_http::response_parser<arriving_body>;

constexpr std::uint32_t head_limit = 64 * 1024;
constexpr unsigned first_status = 100;
constexpr unsigned first_final_status = 200;
constexpr unsigned last_status = 599;
// More than any server has a use for; each more would be read until the
// deadline.
constexpr unsigned max_interim_heads = 16;
constexpr unsigned tunnel_opened_status = 200;
constexpr unsigned server_unreachable_status = 502;
constexpr std::size_t read_size = std::size_t{16} * 1024;
constexpr std::size_t buffer_limit = std::size_t{128} * 1024;
// Of one answer, a stream's chunks added up: eight times the largest page that
// is read and more than ten times the longest generation.
constexpr std::uint64_t body_limit = std::uint64_t{64} * 1024 * 1024;

client_error failed(
    const error_code& failure,
    const deadline& guard,
    const std::string& server,
    const char* step,
    bytes_handed_over handed_over)
{
    const std::string where = std::string(step) + " " + server;
    if (guard.has_expired())
        return {
            core::error(
                core::error_kind::timeout,
                where + ": no progress in time",
                "check that the server is alive and not overloaded"),
            handed_over};
    // Beast's own errors are about the text; end_of_stream and
    // partial_message are about the connection's end.
    const bool is_text =
        failure.category() ==
            error_code(beast_http::error::bad_version).category() &&
        failure != beast_http::error::end_of_stream &&
        failure != beast_http::error::partial_message;
    if (is_text)
        return {
            core::error(
                core::error_kind::protocol,
                where + ": " + failure.message(),
                "check that the address is the one of an HTTP/1.1 server"),
            handed_over};
    return {
        core::error(
            core::error_kind::unavailable,
            where + ": " + failure.message(),
            "check that the server is running and can be reached"),
        handed_over};
}

} // namespace

struct client_stream::implementation
{
    implementation(
        const asio::any_io_executor& executor, const socket_buffers& sizes)
        : socket(executor), buffer(buffer_limit), buffers(sizes)
    {}

    /// Parses what the buffer holds. Beast's own read would wait for more
    /// than the piece that is there.
    void parse(error_code& failure)
    {
        if (parser->is_done() || buffer.size() == 0)
            return;
        buffer.consume(parser->put(buffer.data(), failure));
        if (failure == beast_http::error::need_more)
            failure = error_code();
    }

    /// The end of the connection ends a body without a length, and cuts any
    /// other.
    void end_of_input(error_code& failure)
    {
        failure = error_code();
        parser->put_eof(failure);
    }

    /// Reads the head piece by piece: Beast's own read would take memory for
    /// more than is there.
    asio::awaitable<void> read_header(error_code& failure)
    {
        while (!failure) {
            parse(failure);
            if (failure || parser->is_header_done())
                co_return;
            if (buffer.size() + read_size > buffer_limit) {
                failure = beast_http::error::buffer_overflow;
                co_return;
            }
            const auto space = buffer.prepare(read_size);
            const std::size_t count = co_await socket.async_read_some(
                space, asio::redirect_error(asio::use_awaitable, failure));
            buffer.commit(count);
            if (failure == asio::error::eof)
                failure = parser->got_some()
                              ? beast_http::error::partial_message
                              : beast_http::error::end_of_stream;
        }
    }

    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    socket_buffers buffers;
    std::optional<response_parser> parser;
    std::string server = "no server";
    bytes_handed_over handed_over = bytes_handed_over::none;
    std::size_t requests_sent = 0;
    bool is_cancelled = false;
    bool is_whole = false;
    bool is_tunnel = false;
    bool asked_head = false;
};

client_stream::client_stream(std::unique_ptr<implementation> held)
    : held_(std::move(held))
{}

client_stream::client_stream(client_stream&&) noexcept = default;
client_stream& client_stream::operator=(client_stream&&) noexcept = default;
client_stream::~client_stream() = default;

client_stream client_stream::create(
    const asio::any_io_executor& executor, const socket_buffers& buffers)
{
    return client_stream(std::make_unique<implementation>(executor, buffers));
}

asio::awaitable<client_result<void>>
client_stream::connect(endpoint server, core::duration timeout)
{
    implementation& held = *held_;
    held.server = server.to_string();
    const auto executor = co_await asio::this_coro::executor;
    const tcp::endpoint address = to_tcp(server);
    error_code failure;
    if (held.is_cancelled)
        failure = asio::error::operation_aborted;
    else
        held.socket.open(address.protocol(), failure);
    if (!failure)
        held.buffers.apply_to(held.socket);
    const deadline guard(executor, held.socket, timeout, expiry_action::close);
    if (!failure)
        co_await held.socket.async_connect(
            address, asio::redirect_error(asio::use_awaitable, failure));
    if (!failure)
        held.socket.set_option(tcp::no_delay(true), failure);
    if (!failure)
        held.socket.non_blocking(true, failure);
    if (failure)
        co_return tl::unexpected(failed(
            failure,
            guard,
            held.server,
            "connecting to",
            bytes_handed_over::none));
    co_return client_result<void>();
}

asio::awaitable<tl::expected<void, tunnel_error>>
client_stream::connect_through(
    endpoint proxy, endpoint server, core::duration timeout)
{
    const core::time_point end = core::monotonic_now() + timeout;
    const auto remaining = [end] {
        return std::max(end - core::monotonic_now(), core::duration::zero());
    };
    const auto proxy_failed = [](client_error error) {
        error.handed_over = bytes_handed_over::none;
        return tl::unexpected(
            tunnel_error{tunnel_fault::proxy, std::move(error)});
    };
    implementation& held = *held_;
    const auto connected = co_await connect(proxy, timeout);
    if (!connected)
        co_return proxy_failed(connected.error());
    held.server = server.to_string() + " through " + proxy.to_string();
    request outgoing{"CONNECT", server.to_string(), {}, {}};
    const auto sent = co_await send(std::move(outgoing), remaining());
    if (!sent)
        co_return proxy_failed(sent.error());
    const auto head = co_await read_head(remaining());
    if (!head)
        co_return proxy_failed(head.error());
    held.parser.reset();
    held.handed_over = bytes_handed_over::none;
    held.requests_sent = 0;
    held.is_tunnel = true;
    if (head->status == tunnel_opened_status)
        co_return tl::expected<void, tunnel_error>();
    const bool is_server_unreachable =
        head->status == server_unreachable_status;
    co_return tl::unexpected(tunnel_error{
        is_server_unreachable ? tunnel_fault::server : tunnel_fault::proxy,
        client_error{
            core::error(
                core::error_kind::unavailable,
                "connecting to " + held.server + ": status " +
                    std::to_string(head->status),
                "check that the server is running and can be reached"),
            bytes_handed_over::none}});
}

client_result<void> client_stream::enable_keepalive()
{
    const error_code failure = http::enable_keepalive(held_->socket);
    if (!failure)
        return {};
    return tl::unexpected(client_error{
        core::error(
            core::error_kind::unavailable,
            "enabling keepalive to " + held_->server + ": " + failure.message(),
            "check that the operating system supports TCP keepalive"),
        bytes_handed_over::none});
}

asio::awaitable<client_result<void>>
client_stream::send(request outgoing, core::duration timeout)
{
    implementation& held = *held_;
    held.handed_over = bytes_handed_over::none;
    held.is_whole = false;
    held.asked_head = outgoing.method == "HEAD";
    ++held.requests_sent;
    held.parser.reset();
    const auto executor = co_await asio::this_coro::executor;
    const std::string head = format_request_head(outgoing, held.server);
    const std::array<asio::const_buffer, 2> parts{
        asio::buffer(head), asio::buffer(outgoing.body.text())};
    boost::beast::buffers_suffix rest(parts);
    const deadline guard(executor, held.socket, timeout, expiry_action::close);
    error_code failure;
    // Piece by piece, so that the count is exact when one fails.
    while (!failure && asio::buffer_size(rest) > 0) {
        const std::size_t count = co_await held.socket.async_write_some(
            rest, asio::redirect_error(asio::use_awaitable, failure));
        rest.consume(count);
        if (count > 0)
            held.handed_over = bytes_handed_over::some;
    }
    if (failure)
        co_return tl::unexpected(failed(
            failure, guard, held.server, "sending to", held.handed_over));
    co_return client_result<void>();
}

asio::awaitable<client_result<response_head>>
client_stream::read_head(core::duration timeout)
{
    implementation& held = *held_;
    const auto executor = co_await asio::this_coro::executor;
    const deadline guard(executor, held.socket, timeout, expiry_action::close);
    error_code failure;
    bool is_interim = true;
    for (unsigned heads = 0; !failure && is_interim; ++heads) {
        if (heads > max_interim_heads) {
            failure = beast_http::error::bad_status;
            break;
        }
        held.parser.emplace();
        held.parser->header_limit(head_limit);
        held.parser->body_limit(body_limit);
        // The answer to HEAD names the length of a body that does not come.
        held.parser->skip(held.asked_head);
        co_await held.read_header(failure);
        const unsigned status = held.parser->get().result_int();
        // Such a status is of no class (RFC 9110, section 15). A caller may
        // take one below the first for that of an interim answer.
        if (!failure && (status < first_status || status > last_status))
            failure = beast_http::error::bad_status;
        is_interim = !failure && status < first_final_status;
    }
    if (failure)
        co_return tl::unexpected(failed(
            failure,
            guard,
            held.server,
            "reading the head from",
            held.handed_over));
    held.parser->eager(true);
    response_head head;
    head.status = held.parser->get().result_int();
    for (const auto& one : held.parser->get())
        head.fields.add(
            std::string(one.name_string()), std::string(one.value()));
    co_return head;
}

asio::awaitable<client_result<std::optional<std::string>>>
client_stream::read_some(core::duration stall_timeout)
{
    implementation& held = *held_;
    const auto executor = co_await asio::this_coro::executor;
    const deadline guard(
        executor, held.socket, stall_timeout, expiry_action::close);
    std::string& body = held.parser->get().body();
    error_code failure;
    held.parse(failure);
    while (!failure && body.empty() && !held.parser->is_done()) {
        // A chunk's line that never ends would fill the buffer.
        if (held.buffer.size() + read_size > buffer_limit) {
            failure = beast_http::error::buffer_overflow;
            break;
        }
        const auto space = held.buffer.prepare(read_size);
        const std::size_t count = co_await held.socket.async_read_some(
            space, asio::redirect_error(asio::use_awaitable, failure));
        held.buffer.commit(count);
        if (failure == asio::error::eof)
            held.end_of_input(failure);
        else if (!failure)
            held.parse(failure);
    }
    if (!body.empty()) {
        std::optional<std::string> bytes(std::exchange(body, std::string()));
        co_return bytes;
    }
    if (failure)
        co_return tl::unexpected(failed(
            failure,
            guard,
            held.server,
            "reading the body from",
            held.handed_over));
    held.is_whole = true;
    co_return std::optional<std::string>();
}

void client_stream::cancel() noexcept
{
    held_->is_cancelled = true;
    error_code ignored;
    held_->socket.close(ignored);
}

bytes_handed_over client_stream::handed_over() const noexcept
{
    return held_->handed_over;
}

std::size_t client_stream::requests_sent() const noexcept
{
    return held_->requests_sent;
}

bool client_stream::is_body_delimited() const noexcept
{
    return held_->parser && !held_->parser->need_eof();
}

bool client_stream::is_tunnelled() const noexcept
{
    return held_->is_tunnel;
}

bool client_stream::is_reusable() const noexcept
{
    return held_->is_whole && !held_->is_tunnel && !held_->is_cancelled &&
           held_->parser && held_->parser->keep_alive() &&
           held_->buffer.size() == 0;
}

bool client_stream::is_open() const noexcept
{
    if (!held_->socket.is_open())
        return false;
    // An idle connection has nothing to read: an end or stray bytes both
    // make it useless.
    std::array<char, 1> byte{};
    const auto count = ::recv(
        held_->socket.native_handle(),
        byte.data(),
        byte.size(),
        MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace godwit::http
