#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace godwit::http {

/// Makes operations on the open connection fail about three seconds after its
/// peer can no longer be reached, also while nothing is sent.
[[nodiscard]] boost::system::error_code
enable_keepalive(boost::asio::ip::tcp::socket& socket);

} // namespace godwit::http
