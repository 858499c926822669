#pragma once

#include <godwit/core/result.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/http/socket_buffers.hpp>

#include <boost/asio/ip/tcp.hpp>

namespace godwit::http {

/// Converts an address to the one that sockets use.
[[nodiscard]] boost::asio::ip::tcp::endpoint to_tcp(const endpoint& address);

/// Binds the acceptor to the address and listens. Port 0 lets the operating
/// system choose. Accepted connections have `buffers`. Returns the address in
/// use. Fails with `unavailable`.
[[nodiscard]] core::result<endpoint> listen(
    boost::asio::ip::tcp::acceptor& acceptor,
    const endpoint& address,
    const socket_buffers& buffers = {});

} // namespace godwit::http
