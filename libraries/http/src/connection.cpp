#include "connection.hpp"

#include "server_state.hpp"

#include <godwit/core/timer.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <chrono>
#include <exception>
#include <utility>

// The life of a connection: from its start over one request after another to
// its end.

namespace godwit::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// How long a connection without a request may bring its first one while the
// server drains.
constexpr std::chrono::seconds drain_grace{1};

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

connection::connection(
    tcp::socket socket,
    std::shared_ptr<server_state> server,
    memory::client_account::holder held,
    admission verdict)
    : socket_(std::move(socket)), executor_(socket_.get_executor()),
      server_(std::move(server)), verdict_(verdict),
      peer_(describe_peer(socket_)),
      buffer_(server_->limits().header_bytes + read_size),
      held_(std::move(held)),
      caller_gone_signal_(executor_, core::timer::time_point::max()),
      watch_ended_signal_(executor_, core::timer::time_point::max())
{}

// The socket's destructor would end an unfinished stream in an orderly way.
connection::~connection()
{
    close_socket();
    server_->remove(*this, verdict_);
}

void connection::start()
{
    held_.on_eviction([weak = weak_from_this()] {
        auto kept = weak.lock();
        if (!kept)
            return;
        // The last reference must not end here, under the account's lock.
        const auto executor = kept->executor_;
        asio::post(executor, [kept = std::move(kept)] { kept->evict(); });
    });
    asio::co_spawn(
        executor_,
        [kept = shared_from_this()]() -> asio::awaitable<void> {
            co_await kept->run_guarded();
        },
        asio::detached);
}

// What goes wrong with one caller's bytes costs that caller only.
asio::awaitable<void> connection::run_guarded()
{
    try {
        co_await run();
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

// The receiving side alone is closed: the rejection still has to be sent.
void connection::stop_reading()
{
    asio::post(executor_, [kept = shared_from_this()] {
        if (!kept->is_reading_ || kept->is_reading_stopped_)
            return;
        kept->is_reading_stopped_ = true;
        error_code ignored;
        kept->socket_.shutdown(tcp::socket::shutdown_receive, ignored);
    });
}

// A caller that has just connected is about to send.
void connection::close_unless_used_soon()
{
    const auto timer = std::make_shared<core::timer>(executor_, drain_grace);
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

asio::awaitable<void> connection::run()
{
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
    if (verdict_ == admission::refused) {
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
        set_activity(memory::activity::serving);
        co_await serve(std::move(*received));
        has_served_ = true;
        release_request();
        set_activity(memory::activity::idle);
    }
    close_socket();
}

asio::awaitable<bool> connection::wait_for_first_byte()
{
    error_code failure = asio::error::would_block;
    while (buffer_.size() == 0 && failure == asio::error::would_block) {
        is_idle_ = true;
        const bool is_readable = co_await wait_until_readable();
        is_idle_ = false;
        if (!is_readable)
            co_return false;
        const auto space = buffer_.prepare(read_size);
        buffer_.commit(socket_.read_some(space, failure));
    }
    co_return buffer_.size() > 0;
}

// The deadline is over the wait alone, and only ends the wait: a request that
// comes as the idle time ends is served. Closed under it, requests were passed
// on, cut, and never answered.
asio::awaitable<bool> connection::wait_until_readable()
{
    const core::time_point since = core::monotonic_now();
    while (true) {
        const core::duration left =
            since + idle_patience() - core::monotonic_now();
        // What was sent is served all the same.
        if (left <= core::duration::zero())
            co_return has_unread_bytes();
        error_code failure;
        {
            const deadline guard(
                executor_, socket_, left, expiry_action::cancel);
            // Waiting leaves the bytes where `has_unread_bytes` sees them.
            co_await socket_.async_wait(
                tcp::socket::wait_read,
                asio::redirect_error(asio::use_awaitable, failure));
        }
        if (!failure)
            co_return true;
        if (!socket_.is_open() || failure != asio::error::operation_aborted)
            co_return false;
    }
}

// Callers go by the newest limit, so an idle connection does, too.
core::duration connection::idle_patience() const
{
    const core::duration longest = server_->limits().idle_timeout;
    if (!server_->is_draining())
        return longest;
    if (has_served_)
        return core::duration::zero();
    return std::min<core::duration>(longest, drain_grace);
}

asio::awaitable<void> connection::serve(request received)
{
    // After a stall the end of the connection may be there with the request:
    // its handler has to know, or it begins what is cut a moment later.
    (void)take_early_bytes();
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

} // namespace godwit::http
