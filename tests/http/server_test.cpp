#include "server_harness.hpp"

#include <godwit/core/random.hpp>

#include <boost/asio/awaitable.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <stdexcept>
#include <string>
#include <thread>

namespace {

using namespace godwit::http;
using godwit::http::test::raw_caller;
using godwit::http::test::server_harness;
using std::chrono::milliseconds;

constexpr std::string_view whole_get =
    "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";

/// Answers with the method and the body, and counts.
class echo
{
public:
    boost::asio::awaitable<void> operator()(exchange& current)
    {
        ++*count_;
        response answer;
        answer.body =
            current.received().method + ":" + current.received().body.text();
        const auto sent = co_await current.respond(std::move(answer));
        (void)sent;
    }

    [[nodiscard]] int count() const { return *count_; }

private:
    std::shared_ptr<std::atomic<int>> count_ =
        std::make_shared<std::atomic<int>>(0);
};

bool contains(const std::string& text, std::string_view part)
{
    return text.find(part) != std::string::npos;
}

/// The line that an answer begins with.
std::string status_line(const std::string& answer)
{
    return answer.substr(0, answer.find('\r'));
}

class server_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_test);
    CPPUNIT_TEST(test_answers_and_keeps_connection);
    CPPUNIT_TEST(test_answers_pipelined_requests_in_order);
    CPPUNIT_TEST(test_reads_chunked_body);
    CPPUNIT_TEST(test_invites_body);
    CPPUNIT_TEST(test_refuses_malformed);
    CPPUNIT_TEST(test_refuses_truncated_body);
    CPPUNIT_TEST(test_refuses_large_header);
    CPPUNIT_TEST(test_refuses_large_body);
    CPPUNIT_TEST(test_refuses_slow_header);
    CPPUNIT_TEST(test_refuses_slow_body);
    CPPUNIT_TEST(test_closes_idle_connection);
    CPPUNIT_TEST(test_refuses_connections_beyond_limit);
    CPPUNIT_TEST(test_connection_without_request_gives_way);
    CPPUNIT_TEST(test_head_has_no_body);
    CPPUNIT_TEST(test_survives_mutated_requests);
    CPPUNIT_TEST(test_streams);
    CPPUNIT_TEST(test_unfinished_stream_is_visibly_cut);
    CPPUNIT_TEST(test_a_cut_does_not_take_back_what_was_sent);
    CPPUNIT_TEST(test_failed_handler_is_500);
    CPPUNIT_TEST(test_notices_that_caller_left);
    CPPUNIT_TEST(test_notices_that_caller_reset);
    CPPUNIT_TEST(test_slow_reader_is_cut);
    CPPUNIT_TEST(test_drains);
    CPPUNIT_TEST(test_drain_serves_what_was_sent);
    CPPUNIT_TEST(test_header_values_cannot_break_lines);
    CPPUNIT_TEST_SUITE_END();

    static std::string
    answer_to(const std::string& bytes, const server_limits& limits = {})
    {
        echo handler;
        server_harness harness(limits, handler);
        const raw_caller caller(harness.target().address());
        caller.send_until_refused(bytes);
        return caller.read_all();
    }

    static void assert_refused(
        std::string_view status,
        std::string_view reason,
        const std::string& bytes,
        const server_limits& limits = {})
    {
        echo handler;
        server_harness harness(limits, handler);
        const raw_caller caller(harness.target().address());
        caller.send_until_refused(bytes);
        const std::string answer = caller.read_all();
        CPPUNIT_ASSERT_MESSAGE(
            bytes.substr(0, 200) + "\ngave " + answer,
            contains(status_line(answer), status));
        CPPUNIT_ASSERT_MESSAGE(
            answer, contains(answer, "hook:" + std::string(reason)));
        CPPUNIT_ASSERT(contains(answer, "Connection: close"));
        CPPUNIT_ASSERT_EQUAL(0, handler.count());
    }

    void test_answers_and_keeps_connection()
    {
        echo handler;
        server_harness harness({}, handler);
        const raw_caller caller(harness.target().address());
        caller.send(
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nhi");
        const std::string first = caller.read_until("POST:hi");
        CPPUNIT_ASSERT_EQUAL(
            std::string("HTTP/1.1 200 OK"), status_line(first));
        CPPUNIT_ASSERT(contains(first, "Content-Length: 7\r\n"));
        caller.send(std::string(whole_get));
        const std::string second = caller.read_all();
        CPPUNIT_ASSERT(contains(second, "GET:"));
        CPPUNIT_ASSERT(contains(second, "Connection: close"));
        CPPUNIT_ASSERT_EQUAL(2, handler.count());
    }

    void test_answers_pipelined_requests_in_order()
    {
        const std::string answer = answer_to(
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n1"
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n2" +
            std::string(whole_get));
        const auto first = answer.find("POST:1");
        const auto second = answer.find("POST:2");
        CPPUNIT_ASSERT(first != std::string::npos);
        CPPUNIT_ASSERT(second != std::string::npos && first < second);
        CPPUNIT_ASSERT(answer.find("GET:") > second);
    }

    void test_reads_chunked_body()
    {
        const std::string answer = answer_to(
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
            "Connection: close\r\n\r\n2\r\nhi\r\n3\r\n ho\r\n0\r\n\r\n");
        CPPUNIT_ASSERT(contains(answer, "POST:hi ho"));
    }

    void test_invites_body()
    {
        echo handler;
        server_harness harness({}, handler);
        const raw_caller caller(harness.target().address());
        caller.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                    "Connection: close\r\nContent-Length: 2\r\n\r\n");
        const std::string invitation = caller.read_until("\r\n\r\n");
        CPPUNIT_ASSERT(contains(invitation, "100 Continue"));
        caller.send("hi");
        CPPUNIT_ASSERT(contains(caller.read_all(), "POST:hi"));
    }

    void test_refuses_malformed()
    {
        const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
        for (const std::string& bytes : {
                 std::string("nonsense\r\n\r\n"),
                 std::string("GET / HTTP/3.7\r\n\r\n"),
                 std::string("GET / HTTP/1.1\r\n\r\n"),
                 std::string("GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"),
                 std::string("GET / HTTP/1.1\r\nHost: a\r\nNo colon\r\n\r\n"),
                 std::string("GET  / HTTP/1.1\r\nHost: a\r\n\r\n"),
                 std::string("GET / HTTP/1.1\r\nHo st: a\r\n\r\n"),
                 post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                 post + "Content-Length: -1\r\n\r\n",
                 post + "Content-Length: 1, 2\r\n\r\nab",
                 post + "Content-Length: 99999999999999999999\r\n\r\n",
                 post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n"
                        "\r\n0\r\n\r\n",
                 post + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n"
                        "\r\n0\r\n\r\n",
                 post + "Transfer-Encoding: gzip\r\n\r\n",
                 post + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
                 post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                 post + "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
                 std::string("POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n"
                             "\r\n0\r\n\r\n"),
             })
            assert_refused("400", "malformed", bytes);
    }

    void test_refuses_truncated_body()
    {
        echo handler;
        server_harness harness({}, handler);
        const raw_caller caller(harness.target().address());
        caller.send(
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhi");
        caller.finish_sending();
        const std::string answer = caller.read_all();
        CPPUNIT_ASSERT(contains(status_line(answer), "400"));
        CPPUNIT_ASSERT(contains(answer, "hook:truncated_body"));
        CPPUNIT_ASSERT_EQUAL(0, handler.count());
    }

    void test_refuses_large_header()
    {
        server_limits limits;
        limits.header_bytes = 1024;
        assert_refused(
            "431",
            "header_too_large",
            "GET / HTTP/1.1\r\nHost: a\r\nLong: " + std::string(200000, 'x') +
                "\r\n\r\n",
            limits);
        assert_refused(
            "431",
            "header_too_large",
            "GET /" + std::string(2000, 'x') + " HTTP/1.1\r\nHost: a\r\n\r\n",
            limits);
    }

    void test_refuses_large_body()
    {
        server_limits limits;
        limits.body_bytes = 100;
        assert_refused(
            "413",
            "body_too_large",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 101\r\n\r\n" +
                std::string(101, 'x'),
            limits);
        // A caller that sends much more still reads the answer.
        assert_refused(
            "413",
            "body_too_large",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n\r\n" +
                std::string(2000000, 'x'),
            limits);
        assert_refused(
            "413",
            "body_too_large",
            "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            "ff\r\n" +
                std::string(255, 'x') + "\r\n0\r\n\r\n",
            limits);
    }

    void test_refuses_slow_header()
    {
        server_limits limits;
        limits.header_timeout = milliseconds(50);
        assert_refused("408", "slow_header", "GET / HTTP/1.1\r\nHos", limits);
    }

    void test_refuses_slow_body()
    {
        server_limits limits;
        limits.body_timeout = milliseconds(50);
        assert_refused(
            "408",
            "slow_body",
            "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhi",
            limits);
    }

    void test_closes_idle_connection()
    {
        server_limits limits;
        limits.idle_timeout = milliseconds(50);
        CPPUNIT_ASSERT_EQUAL(std::string(), answer_to("", limits));
    }

    void test_refuses_connections_beyond_limit()
    {
        server_limits limits;
        limits.connections = 1;
        echo handler;
        server_harness harness(limits, handler);
        const raw_caller first(harness.target().address());
        first.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n"
                   "Connection: close\r\nExpect: 100-continue\r\n\r\n");
        (void)first.read_until("100 Continue");
        const raw_caller second(harness.target().address());
        const std::string answer = second.read_all();
        CPPUNIT_ASSERT(contains(status_line(answer), "503"));
        CPPUNIT_ASSERT(contains(answer, "hook:too_many_connections"));
        first.send("hi");
        CPPUNIT_ASSERT(contains(first.read_all(), "POST:hi"));
    }

    // Guards against silent connections that keep others out.
    void test_connection_without_request_gives_way()
    {
        server_limits limits;
        limits.connections = 2;
        echo handler;
        server_harness harness(limits, handler);
        const raw_caller longest_idle(harness.target().address());
        longest_idle.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        (void)longest_idle.read_until("GET:");
        const raw_caller kept(harness.target().address());
        kept.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        (void)kept.read_until("GET:");
        const raw_caller next(harness.target().address());
        next.send(std::string(whole_get));
        CPPUNIT_ASSERT(contains(next.read_all(), "200 OK"));
        CPPUNIT_ASSERT_EQUAL(std::string(), longest_idle.read_all());
        kept.send(std::string(whole_get));
        CPPUNIT_ASSERT(contains(kept.read_all(), "200 OK"));
    }

    void test_head_has_no_body()
    {
        const std::string answer = answer_to(
            "HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        CPPUNIT_ASSERT(contains(answer, "Content-Length: 5\r\n"));
        CPPUNIT_ASSERT(answer.ends_with("\r\n\r\n"));
    }

    /// Whatever comes, the caller gets an answer, and the server serves the
    /// next one.
    void test_survives_mutated_requests()
    {
        const std::string request =
            "POST /v1/completions HTTP/1.1\r\nHost: a\r\nAccept: */*\r\n"
            "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n"
            "0\r\nTrailer: x\r\n\r\n";
        constexpr int rounds = 500;
        godwit::core::random draw(3);
        server_limits limits;
        limits.body_bytes = 4096;
        echo handler;
        server_harness harness(limits, handler);
        for (int round = 0; round < rounds; ++round) {
            std::string bytes = request;
            for (auto left = draw.below(4) + 1; left > 0; --left) {
                const auto at = draw.below(bytes.size());
                if (draw.below(3) == 0)
                    bytes.erase(at, draw.below(10));
                else
                    bytes[at] = static_cast<char>(draw.below(256));
            }
            const raw_caller caller(harness.target().address());
            caller.send_until_refused(bytes);
            caller.finish_sending();
            const std::string answer = caller.read_all();
            CPPUNIT_ASSERT_MESSAGE(
                bytes + "\ngave " + answer, answer.starts_with("HTTP/1.1 "));
        }
        const raw_caller last(harness.target().address());
        last.send(std::string(whole_get));
        CPPUNIT_ASSERT(contains(last.read_all(), "200 OK"));
    }

    static boost::asio::awaitable<void> stream_three(exchange& current)
    {
        header_fields fields{{"Content-Type", "text/event-stream"}};
        auto sent = co_await current.start_stream(200, std::move(fields));
        for (const char* text : {"one", "two", "three"}) {
            std::string piece = text;
            if (sent)
                sent = co_await current.write_chunk(std::move(piece));
        }
        if (sent && current.received().target != "/cut")
            sent = co_await current.finish_stream();
    }

    void test_streams()
    {
        server_harness harness({}, &stream_three);
        const raw_caller caller(harness.target().address());
        caller.send(std::string(whole_get));
        const std::string answer = caller.read_all();
        CPPUNIT_ASSERT(contains(answer, "Transfer-Encoding: chunked\r\n"));
        CPPUNIT_ASSERT(contains(
            answer, "\r\n\r\n3\r\none\r\n3\r\ntwo\r\n5\r\nthree\r\n0\r\n\r\n"));

        const raw_caller old(harness.target().address());
        old.send("GET / HTTP/1.0\r\n\r\n");
        CPPUNIT_ASSERT(contains(old.read_all(), "\r\n\r\nonetwothree"));
    }

    void test_unfinished_stream_is_visibly_cut()
    {
        server_harness harness({}, &stream_three);
        const raw_caller caller(harness.target().address());
        caller.send("GET /cut HTTP/1.1\r\nHost: a\r\n\r\n");
        const std::string answer = caller.read_all();
        CPPUNIT_ASSERT(contains(answer, "three\r\n"));
        CPPUNIT_ASSERT(!contains(answer, "\r\n0\r\n"));
    }

    static boost::asio::awaitable<void> stream_one_and_cut(exchange& current)
    {
        auto sent = co_await current.start_stream(200, {});
        if (sent)
            sent = co_await current.write_chunk("one");
        current.cut();
    }

    // A reset makes the caller's system drop what the caller has not read yet.
    void test_a_cut_does_not_take_back_what_was_sent()
    {
        server_harness harness({}, &stream_one_and_cut);
        const raw_caller caller(harness.target().address());
        caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        std::this_thread::sleep_for(milliseconds(200));
        const std::string answer = caller.read_all();
        CPPUNIT_ASSERT(contains(answer, "\r\n\r\n3\r\none\r\n"));
        CPPUNIT_ASSERT(!contains(answer, "\r\n0\r\n"));
    }

    static boost::asio::awaitable<void> fail(exchange&)
    {
        throw std::runtime_error("a fault");
        co_return;
    }

    void test_failed_handler_is_500()
    {
        server_harness harness({}, &fail);
        const raw_caller caller(harness.target().address());
        caller.send(std::string(whole_get));
        const std::string answer = caller.read_all();
        CPPUNIT_ASSERT(contains(status_line(answer), "500"));
        CPPUNIT_ASSERT(contains(answer, "hook:handler_failed"));
    }

    /// Waits until the caller is gone and tells the test.
    class waiter
    {
    public:
        boost::asio::awaitable<void> operator()(exchange& current)
        {
            began_->set_value();
            current.on_caller_gone([told = told_] { told->set_value(); });
            co_await current.caller_gone();
            gone_->set_value(current.is_caller_gone());
        }

        void wait_until_began() { began_->get_future().get(); }

        bool wait_until_gone()
        {
            told_->get_future().get();
            return gone_->get_future().get();
        }

    private:
        std::shared_ptr<std::promise<void>> began_ =
            std::make_shared<std::promise<void>>();
        std::shared_ptr<std::promise<void>> told_ =
            std::make_shared<std::promise<void>>();
        std::shared_ptr<std::promise<bool>> gone_ =
            std::make_shared<std::promise<bool>>();
    };

    void test_notices_that_caller_left()
    {
        waiter handler;
        server_harness harness({}, handler);
        {
            const raw_caller caller(harness.target().address());
            caller.send(std::string(whole_get));
            handler.wait_until_began();
            CPPUNIT_ASSERT_EQUAL(
                std::size_t{1}, harness.target().active_exchanges());
        }
        CPPUNIT_ASSERT(handler.wait_until_gone());
    }

    void test_notices_that_caller_reset()
    {
        waiter handler;
        server_harness harness({}, handler);
        raw_caller caller(harness.target().address());
        // The bytes of a next request must not hide the end.
        caller.send(std::string(whole_get) + "GET");
        handler.wait_until_began();
        caller.reset();
        CPPUNIT_ASSERT(handler.wait_until_gone());
    }

    void test_slow_reader_is_cut()
    {
        const auto outcome =
            std::make_shared<std::promise<godwit::core::error_kind>>();
        server_limits limits;
        limits.write_timeout = milliseconds(50);
        server_harness harness(
            limits,
            [outcome](exchange& current) -> boost::asio::awaitable<void> {
                auto sent = co_await current.start_stream(200, {});
                while (sent) {
                    std::string much(std::size_t{1024} * 1024, 'x');
                    sent = co_await current.write_chunk(std::move(much));
                }
                outcome->set_value(sent.error().kind());
            });
        const raw_caller caller(harness.target().address());
        caller.send(std::string(whole_get));
        CPPUNIT_ASSERT(
            outcome->get_future().get() == godwit::core::error_kind::timeout);
    }

    void test_drains()
    {
        const auto release = std::make_shared<std::promise<void>>();
        const auto began = std::make_shared<std::promise<void>>();
        server_harness harness(
            {},
            [release,
             began](exchange& current) -> boost::asio::awaitable<void> {
                if (current.received().target == "/held") {
                    began->set_value();
                    // Blocks the server's only thread, so that whatever the
                    // test does next happens while this exchange runs.
                    release->get_future().wait();
                }
                response answer;
                answer.body = "done";
                const auto sent = co_await current.respond(std::move(answer));
                (void)sent;
            });
        const raw_caller idle(harness.target().address());
        idle.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        (void)idle.read_until("done");
        const raw_caller busy(harness.target().address());
        busy.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
        began->get_future().get();
        harness.target().stop_accepting();
        release->set_value();
        const std::string answer = busy.read_all();
        CPPUNIT_ASSERT(contains(answer, "Connection: close"));
        CPPUNIT_ASSERT(contains(answer, "done"));
        CPPUNIT_ASSERT_EQUAL(std::string(), idle.read_all());
        CPPUNIT_ASSERT_THROW(
            raw_caller(harness.target().address()), std::runtime_error);
    }

    void test_drain_serves_what_was_sent()
    {
        const auto release = std::make_shared<std::promise<void>>();
        const auto began = std::make_shared<std::promise<void>>();
        server_harness harness(
            {},
            [release,
             began](exchange& current) -> boost::asio::awaitable<void> {
                if (current.received().target == "/held") {
                    began->set_value();
                    release->get_future().wait();
                }
                response answer;
                answer.body = "done";
                const auto sent = co_await current.respond(std::move(answer));
                (void)sent;
            });
        const raw_caller kept(harness.target().address());
        kept.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        (void)kept.read_until("done");
        const raw_caller busy(harness.target().address());
        busy.send("GET /held HTTP/1.1\r\nHost: a\r\n\r\n");
        began->get_future().get();
        // The server's thread is held, so it has not seen any of these: a
        // request on a connection that it knows, one on a connection that
        // it has not accepted, and a connection whose request comes later.
        kept.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        const raw_caller fresh(harness.target().address());
        fresh.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        const raw_caller later(harness.target().address());
        harness.target().stop_accepting();
        release->set_value();
        CPPUNIT_ASSERT(contains(kept.read_all(), "done"));
        CPPUNIT_ASSERT(contains(fresh.read_all(), "done"));
        later.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        CPPUNIT_ASSERT(contains(later.read_all(), "done"));
        CPPUNIT_ASSERT(contains(busy.read_all(), "done"));
    }

    void test_header_values_cannot_break_lines()
    {
        server_harness harness(
            {}, [](exchange& current) -> boost::asio::awaitable<void> {
                response answer;
                answer.fields.set("Echo", "a\r\nSet-Cookie: b");
                const auto sent = co_await current.respond(std::move(answer));
                (void)sent;
            });
        const raw_caller caller(harness.target().address());
        caller.send(std::string(whole_get));
        CPPUNIT_ASSERT(!contains(caller.read_all(), "\nSet-Cookie"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_test);

} // namespace
