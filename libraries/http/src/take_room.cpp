#include <godwit/http/take_room.hpp>

#include <godwit/core/timer.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>

namespace godwit::http {

namespace asio = boost::asio;

namespace {

// Connections that are told to end do so as soon as the thread is free.
constexpr std::chrono::milliseconds ask_interval{2};

} // namespace

asio::awaitable<bool> take_room(
    memory::client_account::holder& taker,
    memory::amounts more,
    core::time_point end)
{
    while (true) {
        const core::time_point now = core::monotonic_now();
        const memory::grant answer = taker.try_take(more, now);
        if (answer != memory::grant::pending || now >= end)
            co_return answer == memory::grant::granted;
        core::timer pause(co_await asio::this_coro::executor, ask_interval);
        boost::system::error_code ignored;
        co_await pause.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

} // namespace godwit::http
