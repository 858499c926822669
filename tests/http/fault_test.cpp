#include "server_harness.hpp"

#include <godwit/http/server.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

// What goes wrong at one connection costs that connection: it is told to the
// server's owner, and the others are served on, also where a handler answers
// out of turn.

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace godwit::http;
using godwit::http::test::raw_caller;
using godwit::http::test::server_harness;

constexpr const char* get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr const char* last_get =
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

asio::awaitable<void> answer_with(exchange& current, std::string body)
{
    response answer;
    answer.body = std::move(body);
    [[maybe_unused]] const auto sent =
        co_await current.respond(std::move(answer));
}

asio::awaitable<void> answer_twice(exchange& current)
{
    co_await answer_with(current, "first");
    co_await answer_with(current, "second");
}

asio::awaitable<void> write_without_a_stream(exchange& current)
{
    [[maybe_unused]] const auto written = co_await current.write_chunk("piece");
    [[maybe_unused]] const auto ended = co_await current.finish_stream();
    co_await answer_with(current, "whole");
}

asio::awaitable<void> throw_a_fault(exchange& /*current*/)
{
    throw std::runtime_error("a fault");
    co_return;
}

/// Answers after a while, so that the caller's next bytes come meanwhile.
asio::awaitable<void> answer_late(exchange& current)
{
    asio::steady_timer timer(
        current.executor(), std::chrono::milliseconds(200));
    co_await timer.async_wait(asio::use_awaitable);
    co_await answer_with(
        current, "got:" + std::to_string(current.received().body.size()) + ";");
}

class fault_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fault_test);
    CPPUNIT_TEST(test_a_second_answer_is_not_sent);
    CPPUNIT_TEST(test_a_piece_of_no_stream_is_not_sent);
    CPPUNIT_TEST(test_an_exception_is_told);
    CPPUNIT_TEST(test_limits_that_grow_do_not_stop_a_connection);
    CPPUNIT_TEST(test_a_caller_that_left_during_a_stall_is_gone_at_once);
    CPPUNIT_TEST(test_a_head_that_was_late_is_refused_though_it_came);
    CPPUNIT_TEST_SUITE_END();

    void test_a_second_answer_is_not_sent()
    {
        server_harness harness({}, &answer_twice);
        const raw_caller caller(harness.target().address());
        caller.send(std::string(get) + last_get);
        const std::string answers = caller.read_all();
        CPPUNIT_ASSERT_EQUAL(std::string::npos, answers.find("second"));
        CPPUNIT_ASSERT(answers.find("first") < answers.rfind("first"));
        const std::vector<std::string> expected(2, "an answer out of turn");
        CPPUNIT_ASSERT(expected == harness.faults());
    }

    void test_a_piece_of_no_stream_is_not_sent()
    {
        server_harness harness({}, &write_without_a_stream);
        const raw_caller caller(harness.target().address());
        caller.send(last_get);
        const std::string answer = caller.read_all();
        CPPUNIT_ASSERT_EQUAL(std::string::npos, answer.find("piece"));
        CPPUNIT_ASSERT(answer.ends_with("whole"));
        const std::vector<std::string> expected(2, "an answer out of turn");
        CPPUNIT_ASSERT(expected == harness.faults());
    }

    void test_an_exception_is_told()
    {
        server_harness harness({}, &throw_a_fault);
        const raw_caller caller(harness.target().address());
        caller.send(last_get);
        CPPUNIT_ASSERT(caller.read_all().starts_with("HTTP/1.1 500"));
        CPPUNIT_ASSERT(std::vector<std::string>{"a fault"} == harness.faults());
    }

    // A connection's buffer has its size from the limits at its start. Limits
    // that grew meanwhile made the watch over the caller ask for more than
    // the buffer can have; the watch vanished, and the connection waited for
    // its end for ever.
    void test_limits_that_grow_do_not_stop_a_connection()
    {
        constexpr std::size_t large = 40000;
        server_limits limits;
        limits.header_bytes = 1024;
        server_harness harness(limits, &answer_late);
        const raw_caller caller(harness.target().address());
        caller.send(get);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        limits.header_bytes = std::size_t{16} * 1024;
        harness.target().set_limits(limits);
        caller.send(
            "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
            "Content-Length: " +
            std::to_string(large) + "\r\n\r\n" + std::string(large, 'x'));
        const std::string answers = caller.read_all();
        CPPUNIT_ASSERT(answers.find("got:0;") != std::string::npos);
        CPPUNIT_ASSERT(answers.ends_with("got:40000;"));
        CPPUNIT_ASSERT(harness.faults().empty());
    }

    // A host that stood still finds requests together with the ends of their
    // callers' connections. It began to serve them, noticed the end only
    // afterwards and cut what it had begun a moment before, as in
    //     event=caller_left server=i-35e1 cause="End of file" age_ms=3
    // Such a request is known to be nobody's before it is passed on.
    void test_a_caller_that_left_during_a_stall_is_gone_at_once()
    {
        constexpr std::chrono::milliseconds stall(200);
        std::promise<bool> was_gone;
        server_harness harness(
            {}, [&was_gone](exchange& current) -> asio::awaitable<void> {
                was_gone.set_value(current.is_caller_gone());
                co_return;
            });
        raw_caller caller(harness.target().address());
        std::this_thread::sleep_for(stall / 4);
        asio::post(
            harness.context(), [stall] { std::this_thread::sleep_for(stall); });
        caller.send(get);
        std::this_thread::sleep_for(stall / 4);
        caller.reset();
        CPPUNIT_ASSERT(was_gone.get_future().get());
    }

    // The time for a head runs out while the host serves somebody else, and
    // the rest of the head comes before the host gets round to either. It
    // stopped receiving and yet took the head for whole: the request was
    // served with its connection half closed, which looked like a caller that
    // had left, and ended without an answer.
    void test_a_head_that_was_late_is_refused_though_it_came()
    {
        using std::chrono::milliseconds;
        server_limits limits;
        limits.header_timeout = milliseconds(100);
        server_harness harness(limits, &answer_twice);
        const raw_caller late(harness.target().address());
        // Somebody else's connection, whose handler takes its time.
        tcp::acceptor others(
            harness.context(),
            tcp::endpoint(asio::ip::address_v4::loopback(), 0));
        others.async_accept([](const auto& /*failure*/, const auto& /*other*/) {
            std::this_thread::sleep_for(milliseconds(150));
        });
        late.send("GET / HTTP/1.1\r\n");
        std::this_thread::sleep_for(milliseconds(20));
        asio::post(harness.context(), [] {
            std::this_thread::sleep_for(milliseconds(130));
        });
        std::this_thread::sleep_for(milliseconds(60));
        asio::io_context outside;
        tcp::socket other(outside);
        other.connect(others.local_endpoint());
        std::this_thread::sleep_for(milliseconds(140));
        late.send("Host: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(late.read_all().starts_with("HTTP/1.1 408"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fault_test);

} // namespace
