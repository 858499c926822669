#pragma once

#include <godwit/http/exchange.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <string>

namespace godwit::platform_adapter::test {

/// One event of a stream, with its id.
inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

/// Lets a stand-in server's answer go on after so long.
inline boost::asio::awaitable<void>
sleep(http::exchange& asked, int milliseconds)
{
    boost::asio::steady_timer pause(
        asked.executor(), std::chrono::milliseconds(milliseconds));
    co_await pause.async_wait(boost::asio::use_awaitable);
}

} // namespace godwit::platform_adapter::test
