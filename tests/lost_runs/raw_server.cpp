#include "raw_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <utility>

namespace godwit::test {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Bytes that are left unread would turn the end of the connection into a reset.
constexpr const char* end_of_request = "\r\n\r\nbody";

} // namespace

raw_server::raw_server(std::string response, connection_end end)
    : response_(std::move(response)), end_(end),
      acceptor_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
      address_("127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()))
{
    thread_ = std::thread([this] { serve_one_request(); });
}

// Wakes the thread if no request has arrived.
raw_server::~raw_server()
{
    boost::system::error_code ignored;
    tcp::socket waker(io_);
    waker.connect(
        {asio::ip::make_address("127.0.0.1"),
         static_cast<unsigned short>(
             std::stoi(address_.substr(address_.find(':') + 1)))},
        ignored);
    waker.close(ignored);
    thread_.join();
}

void raw_server::serve_one_request()
{
    boost::system::error_code failure;
    tcp::socket connection = acceptor_.accept(failure);
    std::string request;
    asio::read_until(
        connection, asio::dynamic_buffer(request), end_of_request, failure);
    if (!failure)
        asio::write(connection, asio::buffer(response_), failure);
    acceptor_.close(failure);
    if (end_ == connection_end::reset)
        connection.set_option(asio::socket_base::linger(true, 0), failure);
    else
        connection.shutdown(tcp::socket::shutdown_send, failure);
    connection.close(failure);
}

} // namespace godwit::test
