// Guards against tunnels that reach more than backend servers, or that change
// how a response ends.

#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <godwit/http/fetch.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>

namespace {

namespace asio = boost::asio;
using namespace godwit;
using asio::ip::tcp;
using platform_adapter::test::testbed;

/// A server that sends one response without a length and ends its connection.
class closing_server
{
public:
    explicit closing_server(bool resets)
        : listener_(io_, {asio::ip::make_address("127.0.0.1"), 0}),
          thread_([this, resets] { serve(resets); })
    {}

    ~closing_server() { thread_.join(); }

    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(listener_.local_endpoint().port());
    }

private:
    void serve(bool resets)
    {
        tcp::socket caller = listener_.accept();
        std::string received(1024, '\0');
        caller.read_some(asio::buffer(received));
        asio::write(
            caller, asio::buffer(std::string("HTTP/1.1 200 OK\r\n\r\nhello")));
        // Until the response has arrived: a reset drops what is on its way.
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        if (resets)
            caller.set_option(asio::socket_base::linger(true, 0));
        caller.close();
    }

    asio::io_context io_;
    tcp::acceptor listener_;
    std::thread thread_;
};

class tunnel_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(tunnel_test);
    CPPUNIT_TEST(test_only_backend_servers_are_reached);
    CPPUNIT_TEST(test_a_server_that_refuses_is_told_from_a_failing_proxy);
    CPPUNIT_TEST(test_a_response_that_ends_with_its_connection_is_whole);
    CPPUNIT_TEST(test_a_reset_response_is_not_whole);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;
    asio::io_context io_{1};

    template<class Value>
    Value run(asio::awaitable<Value> task)
    {
        auto result = asio::co_spawn(io_, std::move(task), asio::use_future);
        io_.restart();
        io_.run();
        return result.get();
    }

    http::endpoint tunnels()
    {
        http::endpoint address = testbed_.neighbours();
        testbed_.run_on_host<bool>([&](entry::entry_process& process) {
            address = process.tunnel_address();
            return true;
        });
        return address;
    }

    void add_server(const std::string& address)
    {
        testbed_.store().put(
            "keyed.servers",
            "i-9",
            R"({"service":"lm","address":")" + address +
                R"(","zone":"east","version":"v1","slots":4,)"
                R"("state":"ready","sequence":1})");
        testbed::wait_until("the server", [this] {
            return testbed_.run_on_host<bool>(
                [](entry::entry_process& process) {
                    return process.context().directory.is_usable(
                        placement::server_id("i-9"));
                });
        });
    }

    asio::awaitable<tl::expected<std::string, http::tunnel_error>>
    fetch_through_tunnel(http::endpoint server)
    {
        constexpr std::chrono::seconds timeout(2);
        auto stream = http::client_stream::create(io_.get_executor());
        const auto connected =
            co_await stream.connect_through(tunnels(), server, timeout);
        if (!connected)
            co_return tl::unexpected(connected.error());
        http::request outgoing{"GET", "/", {}, {}};
        const http::fetch_limits limits{.deadline = timeout};
        auto fetched =
            co_await http::fetch(stream, server, std::move(outgoing), limits);
        if (!fetched)
            co_return tl::unexpected(http::tunnel_error{
                http::tunnel_fault::server, fetched.error()});
        co_return fetched->body;
    }

    void test_only_backend_servers_are_reached()
    {
        testbed_.start();
        const auto denied =
            run(fetch_through_tunnel(testbed_.store().address()));
        CPPUNIT_ASSERT(!denied);
        CPPUNIT_ASSERT(denied.error().fault == http::tunnel_fault::proxy);
        const auto server =
            http::endpoint::parse(testbed_.first_server().address()).value();
        const auto allowed = run(fetch_through_tunnel(server));
        CPPUNIT_ASSERT(allowed.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), *allowed);
    }

    void test_a_server_that_refuses_is_told_from_a_failing_proxy()
    {
        testbed_.start();
        add_server("127.0.0.1:1");
        const auto refused = run(
            fetch_through_tunnel(http::endpoint::parse("127.0.0.1:1").value()));
        CPPUNIT_ASSERT(!refused);
        CPPUNIT_ASSERT(refused.error().fault == http::tunnel_fault::server);
    }

    void test_a_response_that_ends_with_its_connection_is_whole()
    {
        testbed_.start();
        const closing_server server(false);
        add_server(server.address());
        const auto whole = run(fetch_through_tunnel(
            http::endpoint::parse(server.address()).value()));
        CPPUNIT_ASSERT(whole.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), *whole);
    }

    void test_a_reset_response_is_not_whole()
    {
        testbed_.start();
        const closing_server server(true);
        add_server(server.address());
        const auto cut = run(fetch_through_tunnel(
            http::endpoint::parse(server.address()).value()));
        CPPUNIT_ASSERT(!cut);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tunnel_test);

} // namespace
