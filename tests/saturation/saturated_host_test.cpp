// Guards against a host that takes new callers while its network link is
// saturated, although another host has room.

#include "second_host.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace godwit;
using platform_adapter::test::fake_server;
using platform_adapter::test::second_host;
using platform_adapter::test::testbed;

class saturated_host_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(saturated_host_test);
    CPPUNIT_TEST(test_a_saturated_host_hands_new_callers_to_other_hosts);
    CPPUNIT_TEST(test_a_host_with_room_takes_callers_again);
    CPPUNIT_TEST(test_a_saturated_host_without_others_serves);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double link_bytes_per_second = 20'000;
    static constexpr std::size_t streams = 4;
    static constexpr int events = 60;
    static constexpr int event_interval_ms = 50;

    testbed testbed_;
    std::unique_ptr<second_host> second_;
    std::vector<std::future<std::optional<http::response>>> callers_;

    static boost::asio::awaitable<void> stream_events(http::exchange& exchange)
    {
        const std::string padding(600, 't');
        auto started = co_await exchange.start_stream(
            200, fake_server::signed_fields(exchange));
        for (int id = 1; started && id <= events; ++id) {
            started = co_await exchange.write_chunk(
                "id: " + std::to_string(id) + "\ndata: " + padding + "\n\n");
            co_await platform_adapter::test::sleep(exchange, event_interval_ms);
        }
        if (started)
            started = co_await exchange.finish_stream();
    }

    static boost::asio::awaitable<void> respond(http::exchange& exchange)
    {
        if (exchange.received().target.starts_with("/stream/"))
            co_await stream_events(exchange);
        else
            co_await platform_adapter::test::respond_with_event(exchange);
    }

    void start_host()
    {
        for (fake_server* server :
             {&testbed_.first_server(), &testbed_.second_server()})
            server->set_handler(&respond);
        testbed_.start();
        testbed_.run_on_host<bool>([](entry::entry_process& process) {
            process.context().link.set_capacity(link_bytes_per_second);
            return true;
        });
    }

    void start_both_hosts()
    {
        start_host();
        second_ = std::make_unique<second_host>(testbed_);
        second_->wait_until_linked(testbed_);
    }

    void saturate()
    {
        for (std::size_t number = 0; number < streams; ++number)
            callers_.push_back(std::async(
                std::launch::async, [this] { return testbed_.try_stream(); }));
        testbed::wait_until("a saturated link", [this] {
            return testbed_.run_on_host<bool>(
                [](entry::entry_process& process) {
                    return process.context().link.use(core::monotonic_now()) >=
                           1;
                });
        });
    }

    void check_streams_are_whole()
    {
        for (auto& caller : callers_) {
            const auto response = caller.get();
            CPPUNIT_ASSERT(response.has_value());
            const std::string last = "id: " + std::to_string(events) + "\n";
            CPPUNIT_ASSERT(response->body.find(last) != std::string::npos);
        }
    }

    std::size_t served_at_servers()
    {
        return testbed_.first_server().count("/plain/") +
               testbed_.second_server().count("/plain/");
    }

    void test_a_saturated_host_hands_new_callers_to_other_hosts()
    {
        start_both_hosts();
        saturate();
        testbed::wait_until("a failing readiness check", [this] {
            return !testbed_.is_ready();
        });
        CPPUNIT_ASSERT(second_->is_ready());
        const auto began_at = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT(!testbed_.try_call("/plain/", ""));
        CPPUNIT_ASSERT(
            std::chrono::steady_clock::now() - began_at <
            std::chrono::milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, served_at_servers());
        check_streams_are_whole();
    }

    void test_a_host_with_room_takes_callers_again()
    {
        start_both_hosts();
        saturate();
        check_streams_are_whole();
        testbed::wait_until(
            "readiness", [this] { return testbed_.is_ready(); });
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
    }

    void test_a_saturated_host_without_others_serves()
    {
        start_host();
        saturate();
        CPPUNIT_ASSERT(testbed_.is_ready());
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
        check_streams_are_whole();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(saturated_host_test);

} // namespace
