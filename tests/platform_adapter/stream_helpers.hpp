#pragma once

#include "fake_server.hpp"

#include <godwit/http/exchange.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <chrono>
#include <string>
#include <utility>

namespace godwit::platform_adapter::test {

/// Returns one event of a stream, with its id.
inline std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: t\n\n";
}

/// Responds to a request with one event, signed as by a server.
inline boost::asio::awaitable<void>
respond_with_event(http::exchange& exchange, unsigned status = 200)
{
    http::response response =
        fake_server::signed_response(exchange, status, event(1));
    [[maybe_unused]] const auto sent =
        co_await exchange.respond(std::move(response));
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
