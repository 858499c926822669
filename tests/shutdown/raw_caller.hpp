#pragma once

#include <godwit/http/endpoint.hpp>
#include <godwit/http/listen.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <sys/socket.h>
#include <sys/time.h>

#include <string>

namespace godwit::shutdown_test {

/// A caller that writes and reads bytes as they are.
class raw_caller
{
public:
    explicit raw_caller(const http::endpoint& to) : socket_(context_)
    {
        socket_.connect(http::to_tcp(to));
        // Reads fail instead of hanging when the host sends nothing.
        constexpr timeval receive_timeout{10, 0};
        ::setsockopt(
            socket_.native_handle(),
            SOL_SOCKET,
            SO_RCVTIMEO,
            &receive_timeout,
            sizeof(receive_timeout));
    }

    void write(const std::string& bytes)
    {
        boost::asio::write(socket_, boost::asio::buffer(bytes));
    }

    /// Returns everything up to the end of the connection.
    [[nodiscard]] std::string read_all()
    {
        std::string bytes;
        boost::system::error_code end;
        boost::asio::read(socket_, boost::asio::dynamic_buffer(bytes), end);
        return bytes;
    }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
};

} // namespace godwit::shutdown_test
