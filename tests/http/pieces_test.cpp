#include "server_harness.hpp"

#include <godwit/http/fetch.hpp>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// A chunked body without a byte in it may come in pieces: the line of its last
// chunk, then a single byte. Boost.Beast's parser takes the second piece for
// impossible and, with its assertions on, ends the process with every request
// that others have under way there. Callers send such bodies, and backend
// servers answer with them.

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace godwit::http;
using godwit::http::test::raw_caller;
using godwit::http::test::server_harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

using pieces = std::vector<std::string>;

// Long enough for the other side to read what came before.
constexpr milliseconds between_pieces{30};

/// A backend server that answers one request with these pieces.
class answering_in_pieces
{
public:
    explicit answering_in_pieces(pieces answer)
        : acceptor_(
              context_, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          thread_([this, answer = std::move(answer)] { serve(answer); })
    {}

    ~answering_in_pieces() { thread_.join(); }

    answering_in_pieces(const answering_in_pieces&) = delete;
    answering_in_pieces& operator=(const answering_in_pieces&) = delete;

    [[nodiscard]] endpoint address() const
    {
        const auto port = acceptor_.local_endpoint().port();
        return endpoint::parse("127.0.0.1:" + std::to_string(port)).value();
    }

private:
    void serve(const pieces& answer)
    {
        tcp::socket socket(context_);
        acceptor_.accept(socket);
        socket.set_option(tcp::no_delay(true));
        std::string request;
        asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
        for (const std::string& piece : answer) {
            asio::write(socket, asio::buffer(piece));
            std::this_thread::sleep_for(between_pieces);
        }
    }

    asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

class pieces_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(pieces_test);
    CPPUNIT_TEST(test_request_without_a_byte);
    CPPUNIT_TEST(test_request_with_a_trailer);
    CPPUNIT_TEST(test_answer_without_a_byte);
    CPPUNIT_TEST(test_answer_byte_by_byte);
    CPPUNIT_TEST(test_answer_that_claims_more_than_memory);
    CPPUNIT_TEST(test_answer_with_a_status_that_is_none);
    CPPUNIT_TEST_SUITE_END();

    static asio::awaitable<void> echo(exchange& current)
    {
        response answer;
        answer.body = "got:" + current.received().body.text();
        [[maybe_unused]] const auto sent =
            co_await current.respond(std::move(answer));
    }

    /// The server's answer to a chunked request whose body comes so.
    static std::string answer_to(const pieces& body)
    {
        server_harness harness({}, &echo);
        const raw_caller caller(harness.target().address());
        caller.send("POST / HTTP/1.1\r\nHost: a\r\n"
                    "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n");
        for (const std::string& piece : body) {
            std::this_thread::sleep_for(between_pieces);
            caller.send(piece);
        }
        return caller.read_all();
    }

    /// What a client makes of an answer that comes so.
    static client_result<response> fetched_whole(pieces answer)
    {
        const answering_in_pieces server(std::move(answer));
        asio::io_context context(1);
        auto result = asio::co_spawn(
            context,
            fetch(server.address(), request(), {.deadline = seconds(5)}),
            asio::use_future);
        context.run();
        return result.get();
    }

    /// What a client makes of a chunked answer whose body comes so.
    static client_result<response> fetched(const pieces& body)
    {
        pieces answer{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"};
        answer.insert(answer.end(), body.begin(), body.end());
        return fetched_whole(std::move(answer));
    }

    void test_request_without_a_byte()
    {
        const std::string answer = answer_to({"0\r\n", "\r", "\n"});
        CPPUNIT_ASSERT(answer.ends_with("got:"));
    }

    void test_request_with_a_trailer()
    {
        const std::string answer =
            answer_to({"0\r\n", "A", ": b\r", "\n", "\r", "\n"});
        CPPUNIT_ASSERT(answer.ends_with("got:"));
    }

    void test_answer_without_a_byte()
    {
        const auto answer = fetched({"0\r\n", "\r", "\n"});
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string(), answer->body);
    }

    // Memory is reserved for the length that an answer claims. A claim beyond
    // all memory was an exception, also where nobody catches one.
    void test_answer_that_claims_more_than_memory()
    {
        const auto answer = fetched_whole(
            {"HTTP/1.1 200 OK\r\nContent-Length: 9000000000000000000\r\n\r\n",
             "abc"});
        CPPUNIT_ASSERT(!answer.has_value());
    }

    // A caller that got such a status took it for an interim one and waited, or
    // for an answer.
    void test_answer_with_a_status_that_is_none()
    {
        for (const std::string status :
             {"000", "001", "099", "600", "999", "1000", "20", "-20", "2x0"}) {
            const auto answer = fetched_whole(
                {"HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nab"});
            CPPUNIT_ASSERT_MESSAGE(status, !answer.has_value());
        }
    }

    void test_answer_byte_by_byte()
    {
        pieces body;
        for (const char byte : std::string("3\r\nabc\r\n0\r\n\r\n"))
            body.emplace_back(1, byte);
        const auto answer = fetched(body);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("abc"), answer->body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(pieces_test);

} // namespace
