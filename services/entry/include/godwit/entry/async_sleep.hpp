#pragma once

#include <godwit/core/time.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

namespace godwit::entry {

/// Suspends the coroutine for `duration`.
boost::asio::awaitable<void>
async_sleep(boost::asio::any_io_executor executor, core::duration duration);

} // namespace godwit::entry
