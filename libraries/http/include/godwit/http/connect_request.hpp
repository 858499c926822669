#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/endpoint.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace godwit::http {

/// Reads the head of a request to open a tunnel (CONNECT) and returns its
/// target. The client sends nothing further before the response. Fails with
/// `protocol`, also when the head does not arrive within `timeout`, and with
/// `invalid_input` if the target is not an address.
boost::asio::awaitable<core::result<endpoint>> read_connect_target(
    boost::asio::ip::tcp::socket& socket, core::duration timeout);

} // namespace godwit::http
