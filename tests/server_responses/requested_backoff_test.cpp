// Guards against requests to a backend server that turned a request away and
// asked for a backoff with Retry-After.

#include "numbered_calls.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using platform_adapter::test::fake_server;
using platform_adapter::test::numbered_calls;
using platform_adapter::test::testbed;

class requested_backoff_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(requested_backoff_test);
    CPPUNIT_TEST(test_a_server_that_asked_for_a_backoff_gets_no_requests);
    CPPUNIT_TEST(test_a_server_is_used_again_after_its_backoff);
    CPPUNIT_TEST(test_callers_are_told_when_the_backoff_of_all_servers_ends);
    CPPUNIT_TEST(test_streams_do_not_wait_for_the_backoff_of_all_servers);
    CPPUNIT_TEST(test_a_backoff_outlasts_a_record_of_the_list);
    CPPUNIT_TEST(test_a_restart_ends_the_backoff);
    CPPUNIT_TEST(test_invalid_values_are_no_backoff);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned further_calls = 30;

    testbed testbed_;
    numbered_calls calls_{testbed_, "/once/"};
    std::atomic<bool> is_overloaded_ = true;

    static boost::asio::awaitable<void>
    turn_away(http::exchange& exchange, std::string retry_after)
    {
        http::response response =
            fake_server::signed_response(exchange, 503, "busy");
        response.fields.set("X-Godwitworks-Not-Executed", "1");
        response.fields.set("Retry-After", retry_after);
        [[maybe_unused]] const auto sent =
            co_await exchange.respond(std::move(response));
    }

    void set_handler(fake_server& server, const std::string& retry_after)
    {
        server.set_handler([this, retry_after](http::exchange& exchange) {
            return is_overloaded_
                       ? turn_away(exchange, retry_after)
                       : platform_adapter::test::respond_with_event(exchange);
        });
    }

    void start(const std::string& retry_after)
    {
        set_handler(testbed_.first_server(), retry_after);
        testbed_.second_server().set_handler([](http::exchange& exchange) {
            return platform_adapter::test::respond_with_event(exchange);
        });
        testbed_.start();
    }

    /// Checks that a request is refused with the time that is left of a
    /// backoff, without waiting.
    static void check_refused_at_once(
        const std::function<http::response()>& send, double backoff_seconds)
    {
        const auto began_at = std::chrono::steady_clock::now();
        const auto refused = send();
        CPPUNIT_ASSERT(
            std::chrono::steady_clock::now() - began_at <
            std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(503U, refused.status);
        const auto retry_after = refused.fields.find("Retry-After");
        CPPUNIT_ASSERT(retry_after);
        const double seconds = std::stod(std::string(*retry_after));
        CPPUNIT_ASSERT(
            seconds > backoff_seconds - 1 && seconds <= backoff_seconds);
    }

    void call_further()
    {
        for (unsigned number = 0; number < further_calls; ++number) {
            CPPUNIT_ASSERT_EQUAL(200U, calls_.send().status);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    void test_a_server_that_asked_for_a_backoff_gets_no_requests()
    {
        start("3");
        calls_.send_until_received();
        const std::size_t before = calls_.received();
        call_further();
        CPPUNIT_ASSERT_EQUAL(before, calls_.received());
    }

    void test_a_server_is_used_again_after_its_backoff()
    {
        start("0.6");
        calls_.send_until_received();
        is_overloaded_ = false;
        calls_.send_until_received();
    }

    void test_callers_are_told_when_the_backoff_of_all_servers_ends()
    {
        set_handler(testbed_.first_server(), "5");
        testbed_.start_with_first_server();
        (void)calls_.send();
        check_refused_at_once([this] { return calls_.send(); }, 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, calls_.received());
    }

    void test_streams_do_not_wait_for_the_backoff_of_all_servers()
    {
        set_handler(testbed_.first_server(), "30");
        testbed_.start_with_first_server();
        (void)calls_.send();
        check_refused_at_once(
            [this] { return testbed_.call("POST", "/stream/"); }, 30);
    }

    void test_a_backoff_outlasts_a_record_of_the_list()
    {
        start("3");
        calls_.send_until_received();
        testbed_.register_server(testbed_.first_server(), "draining");
        testbed_.register_server(testbed_.first_server(), "ready");
        const std::size_t before = calls_.received();
        call_further();
        CPPUNIT_ASSERT_EQUAL(before, calls_.received());
    }

    void test_a_restart_ends_the_backoff()
    {
        start("60");
        testbed_.restart(testbed_.first_server());
        calls_.send_until_received();
        is_overloaded_ = false;
        testbed_.restart(testbed_.first_server());
        calls_.send_until_received();
    }

    void test_invalid_values_are_no_backoff()
    {
        for (const std::string value :
             {"", "-1", "soon", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"}) {
            testbed tested;
            tested.first_server().set_handler(
                [value](http::exchange& exchange) {
                    return turn_away(exchange, value);
                });
            tested.start_with_first_server();
            for (std::size_t number = 1; number <= 2; ++number) {
                // A server that turned a request away is avoided for a moment.
                std::this_thread::sleep_for(std::chrono::milliseconds(450));
                tested.set_attempt_id("a" + std::to_string(number));
                CPPUNIT_ASSERT_EQUAL(
                    503U, tested.call("POST", "/once/").status);
                CPPUNIT_ASSERT_EQUAL_MESSAGE(
                    value, number, tested.first_server().count("/once/"));
            }
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(requested_backoff_test);

} // namespace
