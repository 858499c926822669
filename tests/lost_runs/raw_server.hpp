#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <thread>

namespace godwit::test {

/// How a connection ends after the response.
enum class connection_end
{
    fin,
    reset
};

/// Listens for one connection, waits for a request with the body "body", writes
/// `response` as it is and ends. Nothing listens on its port from then on, as
/// after a crash.
class raw_server
{
public:
    raw_server(std::string response, connection_end end);
    ~raw_server();

    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    /// Returns the address as "host:port".
    [[nodiscard]] const std::string& address() const { return address_; }

private:
    void serve_one_request();

    const std::string response_;
    const connection_end end_;
    boost::asio::io_context io_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    std::string address_;
    std::thread thread_;
};

} // namespace godwit::test
