#include "connection.hpp"

#include "server_state.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <exception>
#include <utility>

// Noticing that the caller is gone while its request is served.

namespace godwit::http {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

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
    if (buffer_.size() == buffer_.max_size())
        return false;
    const std::size_t excess = buffer_excess(next_buffer_capacity());
    const std::size_t held = buffer_excess(buffer_.capacity());
    const bool has_room =
        excess <= held ||
        held_.try_take({excess - held, 0}, core::monotonic_now()) ==
            memory::grant::granted;
    if (!has_room)
        return false;
    error_code failure;
    const auto space = buffer_.prepare(next_read_size());
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

void connection::on_caller_gone(std::function<void()> notify)
{
    if (!caller_gone_) {
        notify_caller_gone_ = std::move(notify);
        return;
    }
    if (notify)
        notify();
}

} // namespace godwit::http
