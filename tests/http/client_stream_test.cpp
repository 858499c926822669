#include "server_harness.hpp"

#include <godwit/http/fetch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

namespace asio = boost::asio;
using namespace godwit::http;
using godwit::core::error_kind;
using godwit::http::test::raw_caller;
using godwit::http::test::server_harness;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Answers by the target: a stream, a silence, a cut or a plain body.
asio::awaitable<void> behave(exchange& current)
{
    const std::string target = current.received().target;
    if (target == "/silent") {
        co_await current.caller_gone();
        co_return;
    }
    if (target == "/plain") {
        response answer;
        answer.body = current.peer();
        const auto sent = co_await current.respond(std::move(answer));
        (void)sent;
        co_return;
    }
    header_fields fields{{"Kind", "stream"}};
    auto sent = co_await current.start_stream(200, std::move(fields));
    for (const char* text : {"one", "two"}) {
        std::string piece = text;
        if (sent)
            sent = co_await current.write_chunk(std::move(piece));
    }
    if (target == "/stall")
        co_await current.caller_gone();
    else if (target == "/whole" && sent)
        sent = co_await current.finish_stream();
}

class client_stream_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(client_stream_test);
    CPPUNIT_TEST(test_reads_stream_whole);
    CPPUNIT_TEST(test_refused_connection_handed_over_nothing);
    CPPUNIT_TEST(test_head_timeout_handed_over_some);
    CPPUNIT_TEST(test_stall_timeout);
    CPPUNIT_TEST(test_cut_body_is_not_an_end);
    CPPUNIT_TEST(test_cancel_wakes_reader);
    CPPUNIT_TEST(test_cancelled_before_connect);
    CPPUNIT_TEST(test_fetch_reuses_whole_exchanges_only);
    CPPUNIT_TEST(test_fetch_bounds);
    CPPUNIT_TEST(test_a_connection_with_keepalive_probes_a_silent_server);
    CPPUNIT_TEST_SUITE_END();

    /// Returns the seconds after which a silent connection to `server` ends, or
    /// nothing if none of this process's connections to it has keepalive.
    static std::optional<int> seconds_until_dead(const endpoint& server)
    {
        constexpr int max_descriptors = 256;
        for (int socket = 0; socket < max_descriptors; ++socket) {
            sockaddr_in peer{};
            socklen_t size = sizeof(peer);
            const bool is_connected =
                ::getpeername(
                    socket, reinterpret_cast<sockaddr*>(&peer), &size) == 0 &&
                ntohs(peer.sin_port) == server.port();
            if (is_connected && option(socket, SOL_SOCKET, SO_KEEPALIVE) != 0)
                return option(socket, IPPROTO_TCP, TCP_KEEPIDLE) +
                       option(socket, IPPROTO_TCP, TCP_KEEPINTVL) *
                           option(socket, IPPROTO_TCP, TCP_KEEPCNT);
        }
        return std::nullopt;
    }

    static int option(int socket, int level, int name)
    {
        int value = 0;
        socklen_t size = sizeof(value);
        ::getsockopt(socket, level, name, &value, &size);
        return value;
    }

    void test_a_connection_with_keepalive_probes_a_silent_server()
    {
        server_harness harness({}, behave);
        connection_pool_limits limits;
        const endpoint server = harness.target().address();
        for (const bool uses_keepalive : {false, true}) {
            limits.uses_keepalive = uses_keepalive;
            const auto pool = connection_pool::create(
                harness.context().get_executor(), limits);
            const auto fetched =
                run(harness,
                    fetch(
                        *pool,
                        server,
                        {"GET", "/plain", {}, {}},
                        {.deadline = seconds(5)}));
            CPPUNIT_ASSERT(fetched.has_value());
            const auto limit = seconds_until_dead(server);
            CPPUNIT_ASSERT_EQUAL(uses_keepalive, limit.has_value());
            // The shortest time after which hosts count as undisturbed.
            CPPUNIT_ASSERT(!limit || *limit <= 3);
        }
    }

    /// Runs a coroutine on the harness's thread and waits for its result.
    template<class Value>
    static Value run(server_harness& harness, asio::awaitable<Value> task)
    {
        return asio::co_spawn(
                   harness.context(), std::move(task), asio::use_future)
            .get();
    }

    /// What reading a whole answer gave.
    struct reading
    {
        std::string body;
        std::optional<client_error> failure;
        bool is_reusable = false;
    };

    static asio::awaitable<reading>
    read_target(endpoint target, std::string path, milliseconds patience)
    {
        const auto executor = co_await asio::this_coro::executor;
        client_stream stream = client_stream::create(executor);
        reading result;
        auto step = co_await stream.connect(target, seconds(5));
        if (step) {
            request outgoing;
            outgoing.target = std::move(path);
            step = co_await stream.send(std::move(outgoing), seconds(5));
        }
        if (step) {
            const auto head = co_await stream.read_head(patience);
            if (!head)
                step = tl::unexpected(head.error());
        }
        while (step) {
            const auto piece = co_await stream.read_some(patience);
            if (!piece)
                step = tl::unexpected(piece.error());
            else if (!piece->has_value())
                break;
            else
                result.body += **piece;
        }
        if (!step)
            result.failure = step.error();
        result.is_reusable = stream.is_reusable();
        co_return result;
    }

    static reading read(const std::string& path, milliseconds patience)
    {
        server_harness harness({}, &behave);
        return run(
            harness, read_target(harness.target().address(), path, patience));
    }

    void test_reads_stream_whole()
    {
        const reading whole = read("/whole", seconds(5));
        CPPUNIT_ASSERT(!whole.failure);
        CPPUNIT_ASSERT_EQUAL(std::string("onetwo"), whole.body);
        CPPUNIT_ASSERT(whole.is_reusable);
    }

    void test_refused_connection_handed_over_nothing()
    {
        server_harness harness({}, &behave);
        endpoint closed = harness.target().address();
        {
            // A port that was free a moment ago.
            server_harness other({}, &behave);
            closed = other.target().address();
        }
        const reading refused =
            run(harness, read_target(closed, "/whole", seconds(5)));
        CPPUNIT_ASSERT(refused.failure);
        CPPUNIT_ASSERT(
            refused.failure->cause.kind() == error_kind::unavailable);
        CPPUNIT_ASSERT(refused.failure->handed_over == bytes_handed_over::none);
    }

    void test_head_timeout_handed_over_some()
    {
        const reading silent = read("/silent", milliseconds(50));
        CPPUNIT_ASSERT(silent.failure);
        CPPUNIT_ASSERT(silent.failure->cause.kind() == error_kind::timeout);
        CPPUNIT_ASSERT(silent.failure->handed_over == bytes_handed_over::some);
    }

    void test_stall_timeout()
    {
        const reading stalled = read("/stall", milliseconds(50));
        CPPUNIT_ASSERT(stalled.failure);
        CPPUNIT_ASSERT(stalled.failure->cause.kind() == error_kind::timeout);
        CPPUNIT_ASSERT_EQUAL(std::string("onetwo"), stalled.body);
        CPPUNIT_ASSERT(!stalled.is_reusable);
    }

    void test_cut_body_is_not_an_end()
    {
        const reading cut = read("/cut", seconds(5));
        CPPUNIT_ASSERT(cut.failure);
        CPPUNIT_ASSERT(cut.failure->cause.kind() == error_kind::unavailable);
        CPPUNIT_ASSERT_EQUAL(std::string("onetwo"), cut.body);
    }

    static asio::awaitable<error_kind> cancel_while_reading(endpoint target)
    {
        const auto executor = co_await asio::this_coro::executor;
        client_stream stream = client_stream::create(executor);
        const auto connected = co_await stream.connect(target, seconds(5));
        request outgoing;
        outgoing.target = "/silent";
        const auto sent = co_await stream.send(std::move(outgoing), seconds(5));
        asio::steady_timer soon(executor, milliseconds(0));
        soon.async_wait([&](const auto&) { stream.cancel(); });
        const auto head = co_await stream.read_head(seconds(60));
        CPPUNIT_ASSERT(connected && sent && !head);
        co_return head.error().cause.kind();
    }

    void test_cancel_wakes_reader()
    {
        server_harness harness({}, &behave);
        CPPUNIT_ASSERT(
            run(harness, cancel_while_reading(harness.target().address())) ==
            error_kind::unavailable);
    }

    static asio::awaitable<client_result<void>> connect_late(endpoint target)
    {
        const auto executor = co_await asio::this_coro::executor;
        client_stream stream = client_stream::create(executor);
        stream.cancel();
        co_return co_await stream.connect(target, seconds(5));
    }

    void test_cancelled_before_connect()
    {
        server_harness harness({}, &behave);
        const auto late =
            run(harness, connect_late(harness.target().address()));
        CPPUNIT_ASSERT(!late);
        CPPUNIT_ASSERT(late.error().handed_over == bytes_handed_over::none);
    }

    static asio::awaitable<std::vector<std::string>>
    fetch_each(endpoint target, std::vector<std::string> paths)
    {
        const auto executor = co_await asio::this_coro::executor;
        const auto pool = connection_pool::create(executor, {});
        std::vector<std::string> answers;
        for (const std::string& path : paths) {
            request outgoing;
            outgoing.target = path;
            fetch_limits limits;
            limits.deadline = milliseconds(path == "/silent" ? 50 : 5000);
            const auto answer =
                co_await fetch(*pool, target, std::move(outgoing), limits);
            answers.push_back(answer ? answer->body : "failed");
        }
        co_return answers;
    }

    void test_fetch_reuses_whole_exchanges_only()
    {
        server_harness harness({}, &behave);
        const auto answers =
            run(harness,
                fetch_each(
                    harness.target().address(),
                    {"/plain", "/plain", "/silent", "/plain"}));
        CPPUNIT_ASSERT_EQUAL(answers.at(0), answers.at(1));
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), answers.at(2));
        CPPUNIT_ASSERT(answers.at(3) != answers.at(0));
    }

    static asio::awaitable<client_result<response>>
    fetch_little(endpoint target)
    {
        request outgoing;
        outgoing.target = "/whole";
        fetch_limits limits;
        limits.body_bytes = 5;
        co_return co_await fetch(target, std::move(outgoing), limits);
    }

    void test_fetch_bounds()
    {
        server_harness harness({}, &behave);
        const auto answer =
            run(harness, fetch_little(harness.target().address()));
        CPPUNIT_ASSERT(!answer);
        CPPUNIT_ASSERT(answer.error().cause.kind() == error_kind::exhausted);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(client_stream_test);

} // namespace
