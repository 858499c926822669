// Guards against requests to a backend server whose response said that it
// leaves, while the server list still shows it as ready.

#include "fake_neighbours.hpp"
#include "numbered_calls.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using platform_adapter::test::fake_neighbours;
using platform_adapter::test::fake_server;
using platform_adapter::test::numbered_calls;
using platform_adapter::test::testbed;

class leaving_responses_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(leaving_responses_test);
    CPPUNIT_TEST(test_a_response_ends_new_requests);
    CPPUNIT_TEST(test_a_stream_ends_new_requests);
    CPPUNIT_TEST(test_a_later_record_does_not_bring_a_leaving_server_back);
    CPPUNIT_TEST(test_a_restarted_server_is_used_again);
    CPPUNIT_TEST(test_neighbours_are_told);
    CPPUNIT_TEST(test_another_server_at_the_address_says_nothing);
    CPPUNIT_TEST(test_other_values_say_nothing);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned further_calls = 30;

    testbed testbed_;
    std::atomic<bool> is_leaving_ = true;

    void set_handlers(unsigned status, const std::string& value)
    {
        testbed_.first_server().set_handler(
            [this, status, value](
                http::exchange& exchange) -> boost::asio::awaitable<void> {
                http::response response = fake_server::signed_response(
                    exchange, status, platform_adapter::test::event(1));
                if (is_leaving_)
                    response.fields.set("Server-Leaving", value);
                [[maybe_unused]] const auto sent =
                    co_await exchange.respond(std::move(response));
            });
        testbed_.second_server().set_handler([](http::exchange& exchange) {
            return platform_adapter::test::respond_with_event(exchange);
        });
    }

    /// Returns how many of some requests after a response of the first server
    /// reach it.
    std::size_t received_after_response(const std::string& path)
    {
        numbered_calls calls(testbed_, path);
        calls.send_until_received();
        return received_of_further(calls);
    }

    static std::size_t received_of_further(numbered_calls& calls)
    {
        const std::size_t before = calls.received();
        for (unsigned number = 0; number < further_calls; ++number)
            (void)calls.send();
        return calls.received() - before;
    }

    void test_a_response_ends_new_requests()
    {
        set_handlers(200, "1");
        testbed_.start_without_store();
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, received_after_response("/plain/"));
    }

    void test_a_stream_ends_new_requests()
    {
        set_handlers(200, "1");
        testbed_.start_without_store();
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, received_after_response("/stream/"));
    }

    void test_a_later_record_does_not_bring_a_leaving_server_back()
    {
        constexpr unsigned later_sequence = 100;
        set_handlers(200, "1");
        testbed_.start();
        numbered_calls calls(testbed_, "/plain/");
        calls.send_until_received();
        fake_server& first = testbed_.first_server();
        testbed_.store().put(
            "keyed.servers", first.id(), first.record("ready", later_sequence));
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, received_of_further(calls));
    }

    void test_a_restarted_server_is_used_again()
    {
        set_handlers(200, "1");
        testbed_.start();
        testbed_.restart(testbed_.first_server());
        numbered_calls(testbed_, "/plain/").send_until_received();
        is_leaving_ = false;
        testbed_.restart(testbed_.first_server());
        CPPUNIT_ASSERT(received_after_response("/plain/") > 0);
    }

    void test_neighbours_are_told()
    {
        set_handlers(200, "1");
        testbed_.start_without_store();
        fake_neighbours others(2, testbed_.neighbours(), [](const wire::pull&) {
            return std::nullopt;
        });
        testbed::wait_until("links", [&others] { return others.are_linked(); });
        numbered_calls(testbed_, "/plain/").send_until_received();
        testbed::wait_until("a notice", [&others] {
            return others.received<wire::server_sign>().size() == 2;
        });
    }

    void test_another_server_at_the_address_says_nothing()
    {
        set_handlers(421, "1");
        testbed_.start_without_store();
        CPPUNIT_ASSERT(received_after_response("/plain/") > 0);
    }

    void test_other_values_say_nothing()
    {
        for (const std::string value : {"", "0", "yes", "1, 1", "11"}) {
            testbed tested;
            tested.first_server().set_handler(
                [value](
                    http::exchange& exchange) -> boost::asio::awaitable<void> {
                    http::response response = fake_server::signed_response(
                        exchange, 200, platform_adapter::test::event(1));
                    response.fields.set("Server-Leaving", value);
                    [[maybe_unused]] const auto sent =
                        co_await exchange.respond(std::move(response));
                });
            tested.start_with_first_server();
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                value, 200U, tested.call("POST", "/plain/").status);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(
                value, 200U, tested.call("POST", "/plain/").status);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leaving_responses_test);

} // namespace
