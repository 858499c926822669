#include <godwit/http/connect_request.hpp>

#include "deadline.hpp"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>

#include <cstddef>
#include <string>

namespace godwit::http {

namespace asio = boost::asio;
namespace beast_http = boost::beast::http;

namespace {

constexpr std::size_t max_head_bytes = 4096;

} // namespace

asio::awaitable<core::result<endpoint>>
read_connect_target(asio::ip::tcp::socket& socket, core::duration timeout)
{
    const deadline guard(
        socket.get_executor(), socket, timeout, expiry_action::close);
    boost::beast::flat_buffer buffer(max_head_bytes);
    beast_http::request_parser<beast_http::empty_body> parser;
    boost::system::error_code failure;
    co_await beast_http::async_read_header(
        socket,
        buffer,
        parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure || parser.get().method() != beast_http::verb::connect)
        co_return core::fail(
            core::error_kind::protocol,
            "the request is not a CONNECT",
            "send only requests for tunnels to this address");
    co_return endpoint::parse(std::string(parser.get().target()));
}

} // namespace godwit::http
