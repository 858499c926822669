#include <godwit/core/timer.hpp>
#include <godwit/entry/async_sleep.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace godwit::entry {

namespace asio = boost::asio;

asio::awaitable<void>
async_sleep(asio::any_io_executor executor, core::duration duration)
{
    core::timer timer(executor, duration);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

} // namespace godwit::entry
