#pragma once

#include <godwit/http/endpoint.hpp>
#include <godwit/http/server.hpp>

#include <boost/asio/io_context.hpp>

#include <string>

namespace godwit::fakes {

/// Listens, prints "NAME=http://IP:PORT" and serves on one thread until
/// SIGTERM or SIGINT. Returns the exit code.
int serve_until_signal(
    boost::asio::io_context& context,
    const std::string& name,
    const http::endpoint& listen,
    http::exchange_handler handler);

} // namespace godwit::fakes
