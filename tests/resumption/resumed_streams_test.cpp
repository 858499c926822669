// Guards against the loss of a stream whose route permits a second run, and
// against a second run that repeats or leaves out events, that is not paid for,
// or that a route does not permit.

#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace godwit;
using platform_adapter::test::event;
using platform_adapter::test::fake_server;
using platform_adapter::test::testbed;

using step = fake_server::request_handler;

constexpr int last_event = 5;

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += event(id);
    return text;
}

// Loses the connection after these bytes of a stream; without any, before its
// head.
step lose_after(std::string bytes)
{
    return [bytes](http::exchange& exchange) -> boost::asio::awaitable<void> {
        if (!bytes.empty()) {
            [[maybe_unused]] const auto started =
                co_await exchange.start_stream(
                    200, fake_server::signed_fields(exchange));
            [[maybe_unused]] const auto sent =
                co_await exchange.write_chunk(bytes);
            // Without a pause the reset could take back what was sent.
            co_await platform_adapter::test::sleep(exchange, 30);
        }
        exchange.cut();
    };
}

step send_whole(std::string bytes)
{
    return [bytes](http::exchange& exchange) -> boost::asio::awaitable<void> {
        [[maybe_unused]] const auto sent = co_await exchange.respond(
            fake_server::signed_response(exchange, 200, bytes));
    };
}

step fail_with(unsigned status)
{
    return [status](http::exchange& exchange) -> boost::asio::awaitable<void> {
        [[maybe_unused]] const auto sent = co_await exchange.respond(
            fake_server::signed_response(exchange, status, "failed"));
    };
}

class resumed_streams_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(resumed_streams_test);
    CPPUNIT_TEST(test_a_run_lost_before_its_head_is_repeated);
    CPPUNIT_TEST(test_a_run_lost_between_events_goes_on);
    CPPUNIT_TEST(test_a_run_lost_inside_an_event_goes_on_before_it);
    CPPUNIT_TEST(test_repeated_events_are_dropped);
    CPPUNIT_TEST(test_a_missing_event_ends_the_stream);
    CPPUNIT_TEST(test_a_failed_run_is_repeated);
    CPPUNIT_TEST(test_the_last_failure_is_delivered);
    CPPUNIT_TEST(test_a_second_loss_ends_the_stream);
    CPPUNIT_TEST(test_a_lost_request_is_not_said_to_have_not_run);
    CPPUNIT_TEST(test_other_routes_run_once);
    CPPUNIT_TEST(test_the_retry_budget_is_kept);
    CPPUNIT_TEST(test_a_caller_goes_on_where_it_was);
    CPPUNIT_TEST(test_an_unreadable_position_permits_no_new_run);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;
    std::atomic<std::size_t> arrivals_ = 0;

    // The first request to either server gets the first step, and so on.
    void serve(const std::vector<step>& steps)
    {
        const step handler =
            [this,
             steps](http::exchange& exchange) -> boost::asio::awaitable<void> {
            // Probes of a server that lost a run are no runs.
            if (exchange.received().method != "POST")
                co_return co_await fail_with(404)(exchange);
            const std::size_t arrival = arrivals_++;
            co_await steps.at(std::min(arrival, steps.size() - 1))(exchange);
        };
        testbed_.first_server().set_handler(handler);
        testbed_.second_server().set_handler(handler);
        testbed_.start();
    }

    std::vector<std::string> positions(const std::string& path)
    {
        std::vector<std::string> found;
        for (fake_server* server :
             {&testbed_.first_server(), &testbed_.second_server()}) {
            for (const http::request& each : server->received()) {
                if (each.target == path)
                    found.emplace_back(
                        each.fields.find("Last-Event-Id").value_or("none"));
            }
        }
        std::sort(found.begin(), found.end());
        return found;
    }

    void check_whole(
        const std::optional<http::response>& response, int first = 1) const
    {
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(200U, response->status);
        CPPUNIT_ASSERT_EQUAL(events(first, last_event), response->body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, arrivals_.load());
    }

    void test_a_run_lost_before_its_head_is_repeated()
    {
        serve({lose_after(""), send_whole(events(1, last_event))});
        check_whole(testbed_.try_call("/resumable/", "body"));
        const std::vector<std::string> expected{"none", "none"};
        CPPUNIT_ASSERT(positions("/resumable/") == expected);
    }

    void test_a_run_lost_between_events_goes_on()
    {
        serve({lose_after(events(1, 2)), send_whole(events(3, last_event))});
        check_whole(testbed_.try_call("/resumable/", "body"));
        const std::vector<std::string> expected{"2", "none"};
        CPPUNIT_ASSERT(positions("/resumable/") == expected);
    }

    void test_a_run_lost_inside_an_event_goes_on_before_it()
    {
        serve(
            {lose_after(events(1, 2) + "id: 3\nda"),
             send_whole(events(3, last_event))});
        check_whole(testbed_.try_call("/resumable/", "body"));
    }

    void test_repeated_events_are_dropped()
    {
        serve({lose_after(events(1, 3)), send_whole(events(1, last_event))});
        check_whole(testbed_.try_call("/resumable/", "body"));
    }

    void test_a_missing_event_ends_the_stream()
    {
        serve({lose_after(events(1, 2)), send_whole(events(4, last_event))});
        CPPUNIT_ASSERT(!testbed_.try_call("/resumable/", "body"));
    }

    void test_a_failed_run_is_repeated()
    {
        serve({fail_with(500), send_whole(events(1, last_event))});
        check_whole(testbed_.try_call("/resumable/", "body"));
    }

    void test_the_last_failure_is_delivered()
    {
        serve({fail_with(500)});
        const auto response = testbed_.try_call("/resumable/", "body");
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(500U, response->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, arrivals_.load());
    }

    void test_a_second_loss_ends_the_stream()
    {
        serve({lose_after(events(1, 2)), lose_after(events(3, 4))});
        CPPUNIT_ASSERT(!testbed_.try_call("/resumable/", "body"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, arrivals_.load());
    }

    void test_a_lost_request_is_not_said_to_have_not_run()
    {
        serve({lose_after("")});
        const auto response = testbed_.try_call("/resumable/", "body");
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(502U, response->status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, arrivals_.load());
    }

    void test_other_routes_run_once()
    {
        serve({lose_after(events(1, 2)), send_whole(events(3, last_event))});
        CPPUNIT_ASSERT(!testbed_.try_call("/stream/", "body"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrivals_.load());
    }

    // A host's part of the allowance of 50 is four retries for six hosts; the
    // share of 0.2 adds less than three in these requests.
    void test_the_retry_budget_is_kept()
    {
        constexpr std::size_t requests = 12;
        constexpr std::size_t max_retries = 7;
        serve({lose_after(events(1, 2))});
        for (std::size_t sent = 0; sent < requests; ++sent)
            CPPUNIT_ASSERT(!testbed_.try_call(
                "/resumable/", "body " + std::to_string(sent)));
        CPPUNIT_ASSERT(arrivals_.load() > requests);
        CPPUNIT_ASSERT(arrivals_.load() <= requests + max_retries);
    }

    void test_a_caller_goes_on_where_it_was()
    {
        testbed_.set_last_event("2");
        serve({lose_after(events(3, 3)), send_whole(events(1, last_event))});
        check_whole(testbed_.try_call("/resumable/", "body"), 3);
        const std::vector<std::string> expected{"2", "3"};
        CPPUNIT_ASSERT(positions("/resumable/") == expected);
    }

    void test_an_unreadable_position_permits_no_new_run()
    {
        testbed_.set_last_event("two");
        serve({lose_after(events(1, 2)), send_whole(events(3, last_event))});
        CPPUNIT_ASSERT(!testbed_.try_call("/resumable/", "body"));
        const std::vector<std::string> expected{"two"};
        CPPUNIT_ASSERT(positions("/resumable/") == expected);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resumed_streams_test);

} // namespace
