#include <godwit/fakes/signal.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace godwit::fakes {

namespace asio = boost::asio;

void signal::notify()
{
    ++count_;
    timer_.cancel();
}

asio::awaitable<void> signal::wait_beyond(std::uint64_t seen)
{
    if (count_ != seen)
        co_return;
    boost::system::error_code ignored;
    co_await timer_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

asio::awaitable<void> pause(std::chrono::microseconds time)
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer timer(executor, time);
    boost::system::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace godwit::fakes
