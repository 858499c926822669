#include <godwit/core/timer.hpp>
#include <godwit/entry/async_sleep.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace godwit::entry {

namespace asio = boost::asio;

asio::awaitable<void>
async_sleep(asio::any_io_executor executor, core::duration span)
{
    core::timer timer(executor, span);
    boost::system::error_code ended;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ended));
}

} // namespace godwit::entry
