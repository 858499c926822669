// Guards against sending a backend server more requests than the limit in its
// responses.

#include "fake_neighbours.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <godwit/entry/async_sleep.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <future>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

class server_limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_limits_test);
    CPPUNIT_TEST(test_requests_beyond_a_limit_go_to_other_servers);
    CPPUNIT_TEST(test_retries_count_towards_the_limit);
    CPPUNIT_TEST(test_streams_count_towards_the_limit);
    CPPUNIT_TEST(test_requests_beyond_every_limit_are_refused_at_once);
    CPPUNIT_TEST(test_requests_of_neighbours_count_towards_the_limit);
    CPPUNIT_TEST(test_neighbours_receive_limits_and_requests);
    CPPUNIT_TEST(test_an_answer_without_a_limit_lifts_it);
    CPPUNIT_TEST(test_a_restart_lifts_the_limit);
    CPPUNIT_TEST(test_invalid_limits_are_ignored);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;

    static std::optional<wire::message> no_table(const wire::pull& /*pull*/)
    {
        return std::nullopt;
    }

    // Starts with a second host in the fleet.
    void start_with_neighbour()
    {
        testbed_.start();
        testbed_.store().put("keyed.hosts", "n0", "127.0.0.1:1/east");
        testbed::wait_until("the other host", [this] {
            return testbed_.run_on_host<bool>(
                [](entry::entry_process& process) {
                    return process.fleet_size() == 2;
                });
        });
    }

    static fake_server::request_handler
    answer_with_limit(const std::string& limit, unsigned status = 200)
    {
        return
            [limit, status](http::exchange& exchange) -> asio::awaitable<void> {
                http::response response =
                    fake_server::signed_response(exchange, status, event(1));
                if (!limit.empty())
                    response.fields.set("Server-Limit", limit);
                [[maybe_unused]] const auto sent =
                    co_await exchange.respond(std::move(response));
            };
    }

    /// Answers without a limit, so late that other requests come meanwhile.
    static fake_server::request_handler answer_slowly()
    {
        return [](http::exchange& exchange) -> asio::awaitable<void> {
            co_await entry::async_sleep(
                co_await asio::this_coro::executor, milliseconds(30));
            [[maybe_unused]] const auto sent = co_await exchange.respond(
                fake_server::signed_response(exchange, 200, event(1)));
        };
    }

    bool is_limited(fake_server& server)
    {
        const placement::server_id id(server.id());
        return testbed_.run_on_host<bool>([&id](entry::entry_process& process) {
            return process.context().limits.is_limited(id);
        });
    }

    // Sends requests until the entry host knows the server's limit.
    void call_until_limited(fake_server& server)
    {
        testbed::wait_until("the limit", [this, &server] {
            [[maybe_unused]] const auto answer =
                testbed_.call("POST", "/plain/");
            return is_limited(server);
        });
    }

    // Sends requests one after the other; returns how many succeeded.
    std::size_t call_for(milliseconds duration, const std::string& path)
    {
        std::size_t served = 0;
        const auto end = clock_type::now() + duration;
        while (clock_type::now() < end) {
            const auto answer = testbed_.call("POST", path);
            served += answer.status == 200 ? 1 : 0;
            std::this_thread::sleep_for(milliseconds(10));
        }
        return served;
    }

    // In 4 s at a limit of 2 per second: 1.5 times the limit, plus 5 requests.
    static constexpr milliseconds window{4000};
    static constexpr std::size_t allowed = 17;

    void test_requests_beyond_a_limit_go_to_other_servers()
    {
        testbed_.first_server().set_handler(answer_with_limit("2.0"));
        testbed_.start();
        call_until_limited(testbed_.first_server());
        const std::size_t before = testbed_.first_server().count("/plain/");
        const std::size_t others = testbed_.second_server().count("/plain/");
        const std::size_t served = call_for(window, "/plain/");
        CPPUNIT_ASSERT(
            testbed_.first_server().count("/plain/") - before <= allowed);
        CPPUNIT_ASSERT(testbed_.first_server().count("/plain/") - before >= 4);
        CPPUNIT_ASSERT_EQUAL(
            served,
            testbed_.first_server().count("/plain/") - before +
                testbed_.second_server().count("/plain/") - others);
        CPPUNIT_ASSERT(served > 50);
    }

    // Both servers fail, so that requests are retried.
    void test_retries_count_towards_the_limit()
    {
        testbed_.first_server().set_handler(answer_with_limit("2.0", 500));
        testbed_.second_server().set_handler(answer_with_limit("", 500));
        testbed_.start();
        call_until_limited(testbed_.first_server());
        const std::size_t before = testbed_.first_server().count("/again/");
        [[maybe_unused]] const std::size_t served = call_for(window, "/again/");
        CPPUNIT_ASSERT(
            testbed_.first_server().count("/again/") - before <= allowed);
    }

    void test_streams_count_towards_the_limit()
    {
        testbed_.first_server().set_handler(answer_with_limit("2.0"));
        testbed_.second_server().set_handler(answer_with_limit(""));
        testbed_.start();
        call_until_limited(testbed_.first_server());
        const std::size_t before = testbed_.first_server().count("/stream/");
        [[maybe_unused]] const std::size_t served =
            call_for(window, "/stream/");
        CPPUNIT_ASSERT(
            testbed_.first_server().count("/stream/") - before <= allowed);
        CPPUNIT_ASSERT(testbed_.second_server().count("/stream/") > 0);
    }

    void test_requests_beyond_every_limit_are_refused_at_once()
    {
        testbed_.first_server().set_handler(answer_with_limit("1"));
        testbed_.second_server().set_handler(answer_with_limit("1"));
        testbed_.start();
        testbed::wait_until("both limits", [this] {
            [[maybe_unused]] const auto answer =
                testbed_.call("POST", "/plain/");
            return is_limited(testbed_.first_server()) &&
                   is_limited(testbed_.second_server());
        });
        std::size_t refused = 0;
        for (int count = 0; count < 20; ++count) {
            const auto started_at = clock_type::now();
            const auto answer = testbed_.call("POST", "/plain/");
            if (answer.status == 200)
                continue;
            ++refused;
            CPPUNIT_ASSERT(clock_type::now() - started_at < milliseconds(1000));
            CPPUNIT_ASSERT_EQUAL(503U, answer.status);
            CPPUNIT_ASSERT(answer.fields.find("Retry-After"));
            CPPUNIT_ASSERT_EQUAL(
                std::string(
                    R"({"title":"servers_limited","outcome":"not_run"})"),
                answer.body);
        }
        CPPUNIT_ASSERT(refused > 10);
    }

    void test_requests_of_neighbours_count_towards_the_limit()
    {
        testbed_.first_server().set_handler(answer_with_limit("2.0"));
        start_with_neighbour();
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        others.announce_table_version(1);
        call_until_limited(testbed_.first_server());
        // The limit for five seconds.
        others.broadcast(wire::server_limits{
            {{testbed_.first_server().id(), 0, true, 2.0, 0, 10}}});
        testbed::wait_until("the requests", [this] {
            return testbed_.run_on_host<bool>(
                [this](entry::entry_process& process) {
                    return process.context().limits.wait_time(
                               placement::server_id(
                                   testbed_.first_server().id()),
                               core::monotonic_now()) > std::chrono::seconds(3);
                });
        });
        const std::size_t before = testbed_.first_server().count("/plain/");
        CPPUNIT_ASSERT(call_for(milliseconds(2000), "/plain/") > 20);
        CPPUNIT_ASSERT_EQUAL(before, testbed_.first_server().count("/plain/"));
    }

    void test_neighbours_receive_limits_and_requests()
    {
        testbed_.first_server().set_handler(answer_with_limit("50"));
        start_with_neighbour();
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        others.announce_table_version(1);
        call_until_limited(testbed_.first_server());
        testbed::wait_until("reported requests", [this, &others] {
            [[maybe_unused]] const auto answer =
                testbed_.call("POST", "/plain/");
            std::size_t sends = 0;
            for (const wire::server_limits& message : others.limits()) {
                for (const wire::server_limit& one : message.limits) {
                    CPPUNIT_ASSERT_EQUAL(
                        testbed_.first_server().id(), one.server);
                    CPPUNIT_ASSERT(one.limited);
                    CPPUNIT_ASSERT_EQUAL(50.0, one.per_second);
                    sends += one.sends;
                }
            }
            return sends >= 3;
        });
    }

    void test_an_answer_without_a_limit_lifts_it()
    {
        testbed_.first_server().set_handler(answer_with_limit("4"));
        testbed_.second_server().set_handler(answer_with_limit("4"));
        testbed_.start();
        testbed::wait_until("both limits", [this] {
            [[maybe_unused]] const auto answer =
                testbed_.call("POST", "/plain/");
            return is_limited(testbed_.first_server()) &&
                   is_limited(testbed_.second_server());
        });
        testbed_.first_server().set_handler(answer_slowly());
        testbed_.second_server().set_handler(answer_slowly());
        // While one server is busy the host uses the other one.
        testbed::wait_until("the lifting of both limits", [this] {
            const auto call = [this] {
                return testbed_.call("POST", "/plain/").status;
            };
            constexpr std::size_t overlapping = 6;
            std::vector<std::future<unsigned>> calls;
            calls.reserve(overlapping);
            while (calls.size() < overlapping)
                calls.push_back(std::async(std::launch::async, call));
            for (auto& each : calls)
                each.get();
            return !is_limited(testbed_.first_server()) &&
                   !is_limited(testbed_.second_server());
        });
        for (int count = 0; count < 40; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
    }

    void test_a_restart_lifts_the_limit()
    {
        testbed_.first_server().set_handler(answer_with_limit("1"));
        testbed_.start();
        testbed_.restart(testbed_.first_server());
        call_until_limited(testbed_.first_server());
        testbed_.first_server().set_handler(answer_with_limit(""));
        testbed_.restart(testbed_.first_server());
        CPPUNIT_ASSERT(!is_limited(testbed_.first_server()));
    }

    void test_invalid_limits_are_ignored()
    {
        testbed_.start();
        for (const char* value :
             {"-1", "x", "1e99", "inf", "nan", "1,2", "", " ", "0x10"}) {
            testbed_.first_server().set_handler(
                [value](http::exchange& exchange) -> asio::awaitable<void> {
                    http::response response =
                        fake_server::signed_response(exchange, 200, "hello");
                    response.fields.add("Server-Limit", value);
                    [[maybe_unused]] const auto sent =
                        co_await exchange.respond(std::move(response));
                });
            for (int count = 0; count < 6; ++count)
                CPPUNIT_ASSERT_EQUAL(
                    200U, testbed_.call("POST", "/plain/").status);
            CPPUNIT_ASSERT(!is_limited(testbed_.first_server()));
        }
        // A repeated field is invalid.
        testbed_.first_server().set_handler(
            [](http::exchange& exchange) -> asio::awaitable<void> {
                http::response response =
                    fake_server::signed_response(exchange, 200, "hello");
                response.fields.add("Server-Limit", "1");
                response.fields.add("Server-Limit", "2");
                [[maybe_unused]] const auto sent =
                    co_await exchange.respond(std::move(response));
            });
        for (int count = 0; count < 6; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
        CPPUNIT_ASSERT(!is_limited(testbed_.first_server()));
        CPPUNIT_ASSERT(
            testbed_.get_operator_page("/metrics")
                .body.find("godwit_refused_limits_total") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_limits_test);

} // namespace
