// Guards against streams that wait for capacity which does not come, and
// against refusals of streams that could be served.

#include "fake_neighbours.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <limits>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

class predicted_starts_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(predicted_starts_test);
    CPPUNIT_TEST(test_streams_that_would_start_too_late_are_refused);
    CPPUNIT_TEST(test_nothing_is_predicted_unless_enabled);
    CPPUNIT_TEST(test_a_host_without_observations_lets_requests_wait);
    CPPUNIT_TEST(test_streams_are_refused_at_once_while_all_servers_back_off);
    CPPUNIT_TEST(test_calls_are_refused_at_once_while_all_servers_back_off);
    CPPUNIT_TEST(test_sums_go_to_the_cell_and_none_while_idle);
    CPPUNIT_TEST(test_malformed_sums_are_counted_and_change_nothing);
    CPPUNIT_TEST_SUITE_END();

    struct timed_response
    {
        http::response response;
        clock_type::duration duration;
    };

    testbed testbed_;

    void enable()
    {
        testbed_.run_on_host<bool>([](entry::entry_process& process) {
            process.context().settings.predicts_starts = true;
            return true;
        });
    }

    // Each engine has memory for two of the streams.
    void start_with_slow_engines(bool is_enabled)
    {
        for (fake_server* server :
             {&testbed_.first_server(), &testbed_.second_server()})
            server->set_handler(
                [](http::exchange& exchange) -> asio::awaitable<void> {
                    co_await sleep(exchange, 150);
                    co_await respond_with_event(exchange);
                });
        testbed_.start();
        if (is_enabled)
            enable();
        testbed_.set_token_usage("4000,50");
        testbed_.set_deadline(milliseconds(2000));
    }

    timed_response call(const std::string& path)
    {
        const auto begin = clock_type::now();
        http::response response = testbed_.call("POST", path);
        return {std::move(response), clock_type::now() - begin};
    }

    // Sends streams one each 10 ms, which is several times what the engines
    // can start.
    std::vector<timed_response> overload(int streams)
    {
        std::vector<std::future<timed_response>> calls;
        for (int count = 0; count < streams; ++count) {
            calls.push_back(std::async(
                std::launch::async, [this] { return call("/stream/"); }));
            std::this_thread::sleep_for(milliseconds(10));
        }
        std::vector<timed_response> responses;
        for (auto& each : calls)
            responses.push_back(each.get());
        return responses;
    }

    static std::size_t
    refused_for(const std::vector<timed_response>& all, const char* reason)
    {
        const std::string body =
            std::string(R"({"title":")") + reason + R"(","outcome":"not_run"})";
        return static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [&body](const timed_response& each) {
                return each.response.body == body;
            }));
    }

    void test_streams_that_would_start_too_late_are_refused()
    {
        start_with_slow_engines(true);
        const auto responses = overload(150);
        CPPUNIT_ASSERT(refused_for(responses, "no_room_in_time") > 0);
        std::size_t served = 0;
        for (const timed_response& each : responses) {
            served += each.response.status == 200 ? 1 : 0;
            if (each.response.status == 200)
                continue;
            CPPUNIT_ASSERT_EQUAL(503U, each.response.status);
            const auto told = each.response.fields.find("Retry-After");
            CPPUNIT_ASSERT(told);
            CPPUNIT_ASSERT(std::stod(std::string(*told)) >= 0.3);
        }
        CPPUNIT_ASSERT(served > 20);
    }

    void test_nothing_is_predicted_unless_enabled()
    {
        start_with_slow_engines(false);
        const auto responses = overload(60);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, refused_for(responses, "no_room_in_time"));
    }

    void test_a_host_without_observations_lets_requests_wait()
    {
        start_with_slow_engines(true);
        const auto responses = overload(7);
        for (const timed_response& each : responses)
            CPPUNIT_ASSERT_EQUAL(200U, each.response.status);
    }

    // Lets both servers ask for a backoff that is longer than callers stay.
    void start_with_backing_off_servers()
    {
        for (fake_server* server :
             {&testbed_.first_server(), &testbed_.second_server()})
            server->set_handler(
                [](http::exchange& exchange) -> asio::awaitable<void> {
                    http::response response =
                        fake_server::signed_response(exchange, 503, "");
                    response.fields.set("Retry-After", "30");
                    [[maybe_unused]] const auto sent =
                        co_await exchange.respond(std::move(response));
                });
        testbed_.start();
        enable();
        testbed::wait_until("the backoffs", [this] {
            [[maybe_unused]] const auto response = call("/plain/");
            return testbed_.run_on_host<bool>(
                [this](entry::entry_process& process) {
                    const auto now = core::monotonic_now();
                    const auto& health = process.context().health;
                    return health.has_requested_backoff(
                               placement::server_id(
                                   testbed_.first_server().id()),
                               now) &&
                           health.has_requested_backoff(
                               placement::server_id(
                                   testbed_.second_server().id()),
                               now);
                });
        });
    }

    // The median of several, because the machine may be busy.
    void check_refused_at_once(const std::string& path)
    {
        std::vector<clock_type::duration> durations;
        for (int count = 0; count < 9; ++count) {
            const timed_response refused = call(path);
            CPPUNIT_ASSERT_EQUAL(503U, refused.response.status);
            const auto told = refused.response.fields.find("Retry-After");
            CPPUNIT_ASSERT(told);
            CPPUNIT_ASSERT(std::stod(std::string(*told)) > 20);
            durations.push_back(refused.duration);
        }
        std::sort(durations.begin(), durations.end());
        CPPUNIT_ASSERT(durations.at(4) < milliseconds(50));
    }

    void test_streams_are_refused_at_once_while_all_servers_back_off()
    {
        start_with_backing_off_servers();
        check_refused_at_once("/stream/");
    }

    void test_calls_are_refused_at_once_while_all_servers_back_off()
    {
        start_with_backing_off_servers();
        check_refused_at_once("/plain/");
    }

    void link_neighbour()
    {
        testbed_.store().put("keyed.hosts", "n0", "127.0.0.1:1/east");
        testbed::wait_until("the other host", [this] {
            return testbed_.run_on_host<bool>(
                [](entry::entry_process& process) {
                    return process.fleet_size() == 2;
                });
        });
    }

    static std::optional<wire::message> no_table(const wire::pull& /*pull*/)
    {
        return std::nullopt;
    }

    void test_sums_go_to_the_cell_and_none_while_idle()
    {
        start_with_slow_engines(true);
        link_neighbour();
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        others.announce_table_version(1);
        CPPUNIT_ASSERT(others.received<wire::queue_sums>().empty());
        const auto begin = clock_type::now();
        [[maybe_unused]] const auto responses = overload(20);
        testbed::wait_until("the last report", [&others] {
            const auto sums = others.received<wire::queue_sums>();
            return !sums.empty() && sums.back().second.sums.empty();
        });
        const auto sums = others.received<wire::queue_sums>();
        // At most one in 100 ms.
        const auto elapsed = clock_type::now() - begin;
        CPPUNIT_ASSERT(
            sums.size() <=
            static_cast<std::size_t>(elapsed / milliseconds(100)) + 1);
        std::uint64_t started = 0;
        for (const auto& [receiver, message] : sums)
            for (const wire::queue_sum& sum : message.sums)
                for (const wire::queue_order_sum& each : sum.orders)
                    started = std::max(started, each.started.requests);
        CPPUNIT_ASSERT(started > 0);
        std::this_thread::sleep_for(milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(
            sums.size(), others.received<wire::queue_sums>().size());
    }

    void test_malformed_sums_are_counted_and_change_nothing()
    {
        start_with_slow_engines(true);
        link_neighbour();
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        others.announce_table_version(1);
        constexpr std::uint64_t huge =
            std::numeric_limits<std::uint64_t>::max();
        const wire::queue_sums malformed{
            {{core::service_name("lm"),
              {{-7, {huge, huge}, {huge, huge}, {huge, huge}},
               {3, {huge, huge}, {huge, huge}, {huge, huge}}},
              {{"x", -1, huge, 1}}}}};
        others.broadcast(malformed);
        others.broadcast(malformed);
        testbed::wait_until("the count", [this] {
            return testbed_.get_operator_page("/metrics")
                       .body.find("godwit_refused_queue_sums_total 6") !=
                   std::string::npos;
        });
        for (const timed_response& each : overload(7))
            CPPUNIT_ASSERT_EQUAL(200U, each.response.status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(predicted_starts_test);

} // namespace
