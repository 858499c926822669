#pragma once

#include <godwit/http/client_stream.hpp>
#include <godwit/http/event_stream_parser.hpp>
#include <godwit/http/request.hpp>
#include <godwit/http/response.hpp>
#include <godwit/http/response_head.hpp>
#include <godwit/http/server_sent_event.hpp>

#include <boost/asio/io_context.hpp>

#include <deque>
#include <optional>
#include <string>

namespace godwit::proxy::test {

/// A caller with one connection, step by step. A wait of more than thirty
/// seconds and a broken connection throw.
class caller
{
public:
    /// Connects to "http://IP:PORT".
    explicit caller(const std::string& url);

    /// Sends a request and reads the head of the answer.
    http::response_head open(http::request outgoing);

    /// Sends a request without waiting for anything.
    void send(http::request outgoing);

    /// Reads the head of the answer.
    http::response_head read_head();

    /// The next event, or nothing at the end of the body.
    std::optional<http::server_sent_event> next_event();

    /// The rest of the body.
    std::string read_body();

    /// Sends a request and reads the whole answer.
    http::response ask(http::request outgoing);

private:
    template<class Awaitable>
    auto run(Awaitable work);

    boost::asio::io_context context_{1};
    http::client_stream stream_;
    http::event_stream_parser parser_;
    std::deque<http::server_sent_event> events_;
};

/// One exchange on a connection of its own.
http::response ask(const std::string& url, http::request outgoing);

/// The body of a `GET` on a connection of its own.
std::string get(const std::string& url, const std::string& target);

} // namespace godwit::proxy::test
