#pragma once

#include <godwit/http/exchange.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <string>

namespace godwit::platform_adapter::test {

/// Returns one event of a stream, with its id.
inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

/// Delays the response of a fake server.
inline boost::asio::awaitable<void>
sleep(http::exchange& exchange, int milliseconds)
{
    boost::asio::steady_timer pause(
        exchange.executor(), std::chrono::milliseconds(milliseconds));
    co_await pause.async_wait(boost::asio::use_awaitable);
}

} // namespace godwit::platform_adapter::test
