#pragma once

#include <godwit/core/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace godwit::entry {

/// Lets the coroutine go on after so long.
boost::asio::awaitable<void>
async_sleep(boost::asio::any_io_executor executor, core::duration span);

} // namespace godwit::entry
