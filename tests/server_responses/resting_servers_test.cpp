// Guards against requests to a backend server that turned a request away and
// asked for rest with Retry-After.

#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using platform_adapter::test::fake_server;
using platform_adapter::test::testbed;

class resting_servers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(resting_servers_test);
    CPPUNIT_TEST(test_a_server_that_rests_gets_no_requests);
    CPPUNIT_TEST(test_a_server_is_used_again_after_its_rest);
    CPPUNIT_TEST(test_callers_are_told_when_the_rest_of_all_servers_ends);
    CPPUNIT_TEST(test_a_rest_outlasts_a_record_of_the_list);
    CPPUNIT_TEST(test_a_restart_ends_the_rest);
    CPPUNIT_TEST(test_invalid_values_are_no_rest);
    CPPUNIT_TEST_SUITE_END();

    static constexpr unsigned further_calls = 30;

    testbed testbed_;
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

    http::response call()
    {
        static unsigned number = 0;
        testbed_.set_attempt_id("a" + std::to_string(++number));
        return testbed_.call("POST", "/once/");
    }

    std::size_t count_at_first()
    {
        return testbed_.first_server().count("/once/");
    }

    void call_until_first_responds()
    {
        const std::size_t before = count_at_first();
        testbed::wait_until("a response of the first server", [this, before] {
            (void)call();
            return count_at_first() > before;
        });
    }

    void call_further()
    {
        for (unsigned number = 0; number < further_calls; ++number) {
            CPPUNIT_ASSERT_EQUAL(200U, call().status);
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
    }

    void test_a_server_that_rests_gets_no_requests()
    {
        start("3");
        call_until_first_responds();
        const std::size_t before = count_at_first();
        call_further();
        CPPUNIT_ASSERT_EQUAL(before, count_at_first());
    }

    void test_a_server_is_used_again_after_its_rest()
    {
        start("0.6");
        call_until_first_responds();
        is_overloaded_ = false;
        call_until_first_responds();
    }

    void test_callers_are_told_when_the_rest_of_all_servers_ends()
    {
        set_handler(testbed_.first_server(), "5");
        testbed_.start_with_first_server();
        (void)call();
        const auto began_at = std::chrono::steady_clock::now();
        const auto refused = call();
        CPPUNIT_ASSERT(
            std::chrono::steady_clock::now() - began_at <
            std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(503U, refused.status);
        const auto retry_after = refused.fields.find("Retry-After");
        CPPUNIT_ASSERT(retry_after);
        const double seconds = std::stod(std::string(*retry_after));
        CPPUNIT_ASSERT(seconds > 4 && seconds <= 5);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count_at_first());
    }

    void test_a_rest_outlasts_a_record_of_the_list()
    {
        start("3");
        call_until_first_responds();
        testbed_.register_server(testbed_.first_server(), "draining");
        testbed_.register_server(testbed_.first_server(), "ready");
        const std::size_t before = count_at_first();
        call_further();
        CPPUNIT_ASSERT_EQUAL(before, count_at_first());
    }

    void test_a_restart_ends_the_rest()
    {
        start("60");
        testbed_.restart(testbed_.first_server());
        call_until_first_responds();
        is_overloaded_ = false;
        testbed_.restart(testbed_.first_server());
        call_until_first_responds();
    }

    void test_invalid_values_are_no_rest()
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

CPPUNIT_TEST_SUITE_REGISTRATION(resting_servers_test);

} // namespace
