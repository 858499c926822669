// Guards against a host that refuses requests after it lost its links to all
// backend servers, although a neighbour reaches them.

#include "network_partition.hpp"
#include "second_host.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <memory>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using platform_adapter::test::fake_server;
using platform_adapter::test::second_host;
using platform_adapter::test::testbed;
using test::partition_mode;

class partitioned_host_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(partitioned_host_test);
    CPPUNIT_TEST(test_a_host_without_links_to_servers_serves);
    CPPUNIT_TEST(test_a_host_whose_connections_hang_serves);
    CPPUNIT_TEST(test_restored_links_are_used_again);
    CPPUNIT_TEST(test_a_host_without_links_to_one_service_serves);
    CPPUNIT_TEST(test_a_server_notices_that_a_caller_left_behind_a_tunnel);
    CPPUNIT_TEST(test_a_request_that_breaks_in_a_tunnel_is_not_sent_again);
    CPPUNIT_TEST_SUITE_END();

    /// From a disruption on, the time after which requests have to be served.
    static constexpr std::chrono::seconds detection_bound{3};
    static constexpr std::chrono::milliseconds call_interval{50};

    testbed testbed_;
    std::unique_ptr<second_host> second_;

    void partition(partition_mode mode)
    {
        std::set<std::uint16_t> ports;
        for (const fake_server* server :
             {&testbed_.first_server(), &testbed_.second_server()})
            ports.insert(
                http::endpoint::parse(server->address()).value().port());
        testbed_.run_on_host<bool>([&](entry::entry_process&) {
            test::partition_from(ports, mode);
            return true;
        });
    }

    /// Returns how many of the requests within a second are served.
    std::pair<unsigned, unsigned> serve_for_a_second(const std::string& path)
    {
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(1);
        unsigned served = 0;
        unsigned sent = 0;
        while (std::chrono::steady_clock::now() < end) {
            testbed_.set_attempt_id("a" + std::to_string(++sent));
            served += testbed_.call("POST", path).status == 200 ? 1 : 0;
            std::this_thread::sleep_for(call_interval);
        }
        return {served, sent};
    }

    void start_both_hosts()
    {
        handle_with([](http::exchange& exchange) {
            return platform_adapter::test::respond_with_event(exchange);
        });
        testbed_.start();
        second_ = std::make_unique<second_host>(testbed_);
        second_->wait_until_linked(testbed_);
    }

    void lose_links()
    {
        start_both_hosts();
        partition(partition_mode::refuse);
        testbed::wait_until("lost links", [this] {
            [[maybe_unused]] const auto refused =
                testbed_.try_call("/again/", "");
            return are_links_lost();
        });
    }

    void check_requests_are_served(partition_mode mode)
    {
        start_both_hosts();
        partition(mode);
        const auto cut_at = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() - cut_at < detection_bound)
            serve_for_a_second("/again/");
        for (const std::string path : {"/again/", "/plain/", "/stream/"}) {
            const auto [served, sent] = serve_for_a_second(path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(path, sent, served);
        }
    }

    void test_a_host_without_links_to_servers_serves()
    {
        check_requests_are_served(partition_mode::refuse);
    }

    void test_a_host_whose_connections_hang_serves()
    {
        check_requests_are_served(partition_mode::hang);
    }

    bool are_links_lost()
    {
        return testbed_.run_on_host<bool>([](entry::entry_process& process) {
            return process.context().connector.are_links_lost();
        });
    }

    /// Registers reachable servers of another service.
    void add_other_service()
    {
        unsigned number = 0;
        for (const http::endpoint& address :
             {testbed_.store().address(),
              testbed_.callers(),
              testbed_.neighbours()})
            testbed_.store().put(
                "keyed.servers",
                "other-" + std::to_string(++number),
                R"({"service":"other","address":")" + address.to_string() +
                    R"(","zone":"east","version":"v1","slots":4,)"
                    R"("state":"ready","sequence":1})");
    }

    void test_a_host_without_links_to_one_service_serves()
    {
        add_other_service();
        check_requests_are_served(partition_mode::hang);
        CPPUNIT_ASSERT(!are_links_lost());
    }

    /// Sets the handler of both servers.
    void handle_with(const fake_server::request_handler& handler)
    {
        for (fake_server* server :
             {&testbed_.first_server(), &testbed_.second_server()})
            server->set_handler(handler);
    }

    void test_a_server_notices_that_a_caller_left_behind_a_tunnel()
    {
        lose_links();
        std::atomic<unsigned> noticed = 0;
        handle_with(
            [&noticed](
                http::exchange& exchange) -> boost::asio::awaitable<void> {
                co_await exchange.caller_gone();
                ++noticed;
            });
        constexpr int leave_after_ms = 300;
        testbed_.call_and_disconnect("/plain/", leave_after_ms);
        const auto left_at = std::chrono::steady_clock::now();
        testbed::wait_until(
            "notice", [&noticed] { return noticed.load() > 0; });
        CPPUNIT_ASSERT(
            std::chrono::steady_clock::now() - left_at <
            std::chrono::milliseconds(500));
    }

    void test_a_request_that_breaks_in_a_tunnel_is_not_sent_again()
    {
        lose_links();
        handle_with(
            [](http::exchange& exchange) -> boost::asio::awaitable<void> {
                exchange.cut();
                co_return;
            });
        const auto count = [this] {
            return testbed_.first_server().count("/once/") +
                   testbed_.second_server().count("/once/");
        };
        CPPUNIT_ASSERT(testbed_.call("POST", "/once/").status != 200);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count());
    }

    void test_restored_links_are_used_again()
    {
        lose_links();
        testbed_.run_on_host<bool>([](entry::entry_process&) {
            test::heal_partition();
            return true;
        });
        testbed::wait_until(
            "restored links", [this] { return !are_links_lost(); });
        second_.reset();
        const auto [served, sent] = serve_for_a_second("/plain/");
        CPPUNIT_ASSERT_EQUAL(sent, served);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(partitioned_host_test);

} // namespace
