#include "connection.hpp"

#include "request_rules.hpp"
#include "server_state.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <exception>
#include <utility>

namespace godwit::http {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// After a rejection the caller may still be sending; closing at once would
// reset the connection and lose the answer on its way.
constexpr std::chrono::seconds discard_time{1};
// How long a connection without a request may bring its first one while the
// server drains.
constexpr std::chrono::seconds drain_grace{1};
constexpr std::size_t discard_bytes = std::size_t{4} * 1024 * 1024;
constexpr std::size_t read_size = std::size_t{8} * 1024;
constexpr std::string_view continue_head = "HTTP/1.1 100 Continue\r\n\r\n";

std::string describe_peer(const tcp::socket& socket)
{
    error_code failure;
    const auto remote = socket.remote_endpoint(failure);
    if (failure)
        return "gone";
    return remote.address().to_string() + ":" + std::to_string(remote.port());
}

/// Counts an exchange for as long as its handler runs.
class active_exchange
{
public:
    explicit active_exchange(server_state& server) : server_(server)
    {
        server_.exchange_began();
    }

    ~active_exchange() { server_.exchange_ended(); }

    active_exchange(const active_exchange&) = delete;
    active_exchange& operator=(const active_exchange&) = delete;

private:
    server_state& server_;
};

} // namespace

connection::connection(tcp::socket socket, std::shared_ptr<server_state> server)
    : socket_(std::move(socket)), executor_(socket_.get_executor()),
      server_(std::move(server)), peer_(describe_peer(socket_)),
      buffer_(server_->limits().header_bytes + read_size),
      caller_gone_signal_(executor_, asio::steady_timer::time_point::max()),
      watch_ended_signal_(executor_, asio::steady_timer::time_point::max())
{}

connection::~connection()
{
    server_->remove(*this);
}

void connection::start(admission verdict)
{
    asio::co_spawn(
        executor_,
        [kept = shared_from_this(), verdict]() -> asio::awaitable<void> {
            co_await kept->run_guarded(verdict);
        },
        asio::detached);
}

// What goes wrong with one caller's bytes costs that caller only.
asio::awaitable<void> connection::run_guarded(admission verdict)
{
    try {
        co_await run(verdict);
    } catch (const std::exception& fault) {
        server_->report_fault(peer_, fault.what());
    }
    is_watching_ = false;
    close_socket();
}

void connection::close()
{
    asio::post(
        executor_, [kept = shared_from_this()] { kept->close_socket(); });
}

void connection::close_if_idle()
{
    asio::post(executor_, [kept = shared_from_this()] {
        if (!kept->is_idle_ || kept->has_unread_bytes())
            return;
        if (kept->has_served_)
            kept->close_socket();
        else
            kept->close_unless_used_soon();
    });
}

// A caller that has just connected is about to send.
void connection::close_unless_used_soon()
{
    const auto timer =
        std::make_shared<asio::steady_timer>(executor_, drain_grace);
    timer->async_wait([kept = shared_from_this(), timer](const auto&) {
        if (kept->is_idle_ && !kept->has_unread_bytes())
            kept->close_socket();
    });
}

bool connection::has_unread_bytes() const
{
    error_code failure;
    return socket_.available(failure) > 0;
}

void connection::close_socket()
{
    error_code ignored;
    socket_.close(ignored);
}

asio::awaitable<void> connection::run(admission verdict)
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    if (verdict == admission::refused) {
        co_await reject(rejection_reason::too_many_connections);
        close_socket();
        co_return;
    }

    while (keeps_alive_ && socket_.is_open()) {
        const bool has_request = co_await wait_for_first_byte();
        if (!has_request)
            break;
        const active_exchange counted(*server_);
        std::optional<request> received = co_await read_request();
        if (!received)
            break;
        co_await serve(std::move(*received));
        has_served_ = true;
    }
    close_socket();
}

asio::awaitable<bool> connection::wait_for_first_byte()
{
    if (buffer_.size() > 0)
        co_return true;
    core::duration patience = server_->limits().idle_timeout;
    if (server_->is_draining()) {
        // What was sent is served all the same.
        if (has_served_ && !has_unread_bytes())
            co_return false;
        patience = std::min<core::duration>(patience, drain_grace);
    }
    is_idle_ = true;
    const deadline guard(executor_, socket_, patience, expiry_action::close);
    error_code failure;
    // Waiting leaves the bytes where `has_unread_bytes` sees them.
    co_await socket_.async_wait(
        tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, failure));
    is_idle_ = false;
    if (failure)
        co_return false;
    const auto space = buffer_.prepare(read_size);
    const std::size_t count = co_await socket_.async_read_some(
        space, asio::redirect_error(asio::use_awaitable, failure));
    buffer_.commit(count);
    co_return !failure;
}

asio::awaitable<std::optional<request>> connection::read_request()
{
    // A request that is refused here is answered before serve() begins, also
    // when the connection has served others.
    phase_ = answer_phase::none;
    request_parser parser;
    parser.header_limit(
        static_cast<std::uint32_t>(server_->limits().header_bytes));
    parser.body_limit(server_->limits().body_bytes);

    std::optional<rejection_reason> refused = co_await read_head(parser);
    if (!refused)
        refused = co_await read_body(parser);
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

asio::awaitable<void> connection::serve(request received)
{
    // After a stall the end of the connection may be there with the request:
    // its handler has to know, or it begins what is cut a moment later.
    [[maybe_unused]] const bool may_have_more = take_early_bytes();
    is_watching_ = true;
    watch_ended_ = false;
    asio::co_spawn(
        executor_,
        [kept = shared_from_this()]() -> asio::awaitable<void> {
            co_await kept->watch_caller_guarded();
        },
        asio::detached);

    bool is_whole = false;
    {
        exchange current(*this, std::move(received));
        is_whole = co_await run_handler(current);
    }
    notify_caller_gone_ = nullptr;
    co_await stop_watching();
    if (phase_ == answer_phase::none && !caller_gone_ && !is_cut_)
        co_await reject(rejection_reason::handler_failed);
    else if (!is_whole || phase_ != answer_phase::finished)
        close_socket();
}

asio::awaitable<bool> connection::run_handler(exchange& current)
{
    try {
        co_await server_->handler()(current);
        co_return true;
    } catch (const std::exception& fault) {
        // The handler is another's code; its fault costs this exchange only
        // and shows as 500 or as a truncated answer.
        server_->report_fault(peer_, fault.what());
        co_return false;
    }
}

// However the watch ends, whoever waits for its end is woken.
asio::awaitable<void> connection::watch_caller_guarded()
{
    try {
        co_await watch_caller();
    } catch (const std::exception& fault) {
        server_->report_fault(peer_, fault.what());
    }
    watch_ended_ = true;
    watch_ended_signal_.cancel();
}

asio::awaitable<void> connection::watch_caller()
{
    while (is_watching_) {
        error_code failure;
        co_await socket_.async_wait(
            tcp::socket::wait_read,
            asio::redirect_error(asio::use_awaitable, failure));
        if (!is_watching_)
            break;
        if (failure) {
            caller_left(failure);
            break;
        }
        if (!take_early_bytes())
            break;
    }
}

// Bytes of a next request wait in the buffer, up to its bound; beyond that
// the end of the connection is not noticed before they are read.
bool connection::take_early_bytes()
{
    if (buffer_.max_size() - buffer_.size() < read_size)
        return false;
    error_code failure;
    const auto space = buffer_.prepare(read_size);
    const std::size_t count = socket_.read_some(space, failure);
    buffer_.commit(count);
    if (!failure || failure == asio::error::would_block)
        return true;
    caller_left(failure);
    return false;
}

void connection::caller_left(const error_code& cause)
{
    if (caller_gone_)
        return;
    caller_gone_ = true;
    gone_cause_ = cause.message();
    keeps_alive_ = false;
    caller_gone_signal_.cancel();
    if (const auto notify = std::exchange(notify_caller_gone_, nullptr))
        notify();
}

asio::awaitable<void> connection::stop_watching()
{
    is_watching_ = false;
    error_code ignored;
    socket_.cancel(ignored);
    while (!watch_ended_) {
        error_code cancelled;
        co_await watch_ended_signal_.async_wait(
            asio::redirect_error(asio::use_awaitable, cancelled));
    }
}

asio::awaitable<void> connection::wait_until_caller_gone()
{
    while (!caller_gone_) {
        error_code failure;
        co_await caller_gone_signal_.async_wait(
            asio::redirect_error(asio::use_awaitable, failure));
        const auto cancelled =
            (co_await asio::this_coro::cancellation_state).cancelled();
        if (cancelled != asio::cancellation_type::none)
            break;
    }
}

void connection::cut() noexcept
{
    is_cut_ = true;
    keeps_alive_ = false;
    // Without lingering, closing sends a reset.
    error_code ignored;
    socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
}

void connection::on_caller_gone(std::function<void()> notify)
{
    if (!caller_gone_) {
        notify_caller_gone_ = std::move(notify);
        return;
    }
    if (notify)
        notify();
}

// A handler that answers out of turn is at fault; the requests of others are
// not worth its end, so this is no assertion.
core::result<void> connection::check_turn(answer_phase needed)
{
    if (phase_ == needed)
        return {};
    server_->report_fault(peer_, "an answer out of turn");
    return core::fail(
        core::error_kind::conflict,
        "an answer out of turn to " + peer_,
        "answer each request once, and end a stream once");
}

asio::awaitable<core::result<void>> connection::respond(response answer)
{
    const auto in_turn = check_turn(answer_phase::none);
    if (!in_turn)
        co_return in_turn;
    phase_ = answer_phase::streaming;
    if (server_->closes_connections())
        keeps_alive_ = false;
    body_framing framing;
    framing.content_length = answer.body.size();
    framing.keeps_connection = keeps_alive_;
    std::string bytes =
        format_response_head(answer.status, answer.fields, framing);
    if (!omits_body_)
        bytes += answer.body;
    core::result<void> sent = co_await write_all(std::move(bytes));
    if (sent)
        phase_ = answer_phase::finished;
    co_return sent;
}

asio::awaitable<core::result<void>>
connection::start_stream(unsigned status, header_fields fields)
{
    const auto in_turn = check_turn(answer_phase::none);
    if (!in_turn)
        co_return in_turn;
    phase_ = answer_phase::streaming;
    // HTTP/1.0 knows no chunks: the end of the connection ends the body.
    if (server_->closes_connections() || !takes_chunks_)
        keeps_alive_ = false;
    body_framing framing;
    framing.is_chunked = takes_chunks_;
    framing.keeps_connection = keeps_alive_;
    std::string bytes = format_response_head(status, fields, framing);
    co_return co_await write_all(std::move(bytes));
}

asio::awaitable<core::result<void>> connection::write_chunk(std::string data)
{
    const auto in_turn = check_turn(answer_phase::streaming);
    if (!in_turn)
        co_return in_turn;
    if (data.empty() || omits_body_)
        co_return core::result<void>();
    std::string bytes = takes_chunks_ ? format_chunk(data) : std::move(data);
    co_return co_await write_all(std::move(bytes));
}

asio::awaitable<core::result<void>> connection::finish_stream()
{
    const auto in_turn = check_turn(answer_phase::streaming);
    if (!in_turn)
        co_return in_turn;
    core::result<void> sent;
    if (takes_chunks_ && !omits_body_) {
        std::string bytes(last_chunk);
        sent = co_await write_all(std::move(bytes));
    }
    if (sent)
        phase_ = answer_phase::finished;
    co_return sent;
}

asio::awaitable<core::result<void>> connection::write_all(std::string bytes)
{
    const deadline guard(
        executor_,
        socket_,
        server_->limits().write_timeout,
        expiry_action::close);
    error_code failure;
    const auto view = asio::buffer(bytes);
    co_await asio::async_write(
        socket_, view, asio::redirect_error(asio::use_awaitable, failure));
    if (!failure)
        co_return core::result<void>();
    const bool expired = guard.has_expired();
    close_socket();
    caller_left(failure);
    if (expired)
        co_return core::fail(
            core::error_kind::timeout,
            "the caller " + peer_ + " took no bytes within the write timeout",
            "drop the exchange; the caller may connect again");
    co_return core::fail(
        core::error_kind::unavailable,
        "the caller " + peer_ + " is gone: " + failure.message(),
        "drop the exchange; the caller may connect again");
}

} // namespace godwit::http
