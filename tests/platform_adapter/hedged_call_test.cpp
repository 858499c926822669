// Guards against second attempts that are not allowed, and against two
// responses to one call.

#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <future>
#include <memory>
#include <string>
#include <utility>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;

class hedged_call_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hedged_call_test);
    CPPUNIT_TEST(test_the_second_response_wins_and_the_first_is_cancelled);
    CPPUNIT_TEST(test_the_first_response_wins_if_the_second_is_later);
    CPPUNIT_TEST(test_a_failure_does_not_win);
    CPPUNIT_TEST(test_a_server_that_is_not_stated_as_slow_is_waited_for);
    CPPUNIT_TEST(test_a_non_idempotent_call_gets_one_attempt);
    CPPUNIT_TEST(test_a_spent_budget_prevents_a_second_attempt);
    CPPUNIT_TEST(test_a_caller_that_leaves_ends_both_attempts);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;
    std::atomic<int> first_delay_ms_ = 0;
    std::atomic<int> second_delay_ms_ = 0;
    std::atomic<unsigned> second_status_ = 200;
    std::atomic<int> first_cancelled_ = 0;
    std::atomic<int> second_cancelled_ = 0;

    static fake_server::request_handler answer(
        const std::string& body,
        const std::atomic<int>& delay_ms,
        const std::atomic<unsigned>& status,
        std::atomic<int>& cancelled)
    {
        return [&, body](http::exchange& exchange) -> asio::awaitable<void> {
            const auto is_done = std::make_shared<bool>(false);
            exchange.on_caller_gone(
                [&cancelled, is_done] { cancelled += *is_done ? 0 : 1; });
            if (delay_ms > 0)
                co_await sleep(exchange, delay_ms);
            http::response response =
                fake_server::signed_response(exchange, status, body);
            response.fields.set("X-Godwitworks-Replica-Load", "1,0,4,100");
            *is_done = true;
            [[maybe_unused]] const auto sent =
                co_await exchange.respond(std::move(response));
        };
    }

    // Starts with a first server that has answered fast, so that the quantile
    // of its route is known. Only then there is a second one.
    void start()
    {
        static const std::atomic<unsigned> ok = 200;
        testbed_.first_server().set_handler(
            answer("first", first_delay_ms_, ok, first_cancelled_));
        testbed_.second_server().set_handler(answer(
            "second", second_delay_ms_, second_status_, second_cancelled_));
        testbed_.start_with_first_server();
        for (const char* path : {"/again/", "/once/"}) {
            for (int count = 0; count < 20; ++count)
                CPPUNIT_ASSERT_EQUAL(
                    std::string("first"), testbed_.call("POST", path).body);
        }
        testbed_.register_server(testbed_.second_server(), "ready");
    }

    // Applies a statement about a server, as from a neighbour.
    void state_slowdown(const std::string& server, unsigned percent)
    {
        testbed_.run_on_host<bool>([&](entry::entry_process& process) {
            const core::time_point now = core::monotonic_now();
            return process.context().loads.update(
                {placement::server_id(server),
                 {},
                 placement::load_statement::create(1, 0, 4, percent).value(),
                 1,
                 now},
                placement::statement_origin::own,
                now);
        });
    }

    // Sends a call that the first server answers after `delay_ms`, and states
    // that server's slowdown while the call runs there.
    std::string
    call_at_slow_server(const std::string& path, int delay_ms, unsigned percent)
    {
        first_delay_ms_ = delay_ms;
        // What was stated last makes the first server the better one.
        state_slowdown("i-1", 100);
        state_slowdown("i-2", 140);
        const std::size_t before = testbed_.first_server().count(path);
        auto body = std::async(std::launch::async, [this, &path] {
            return testbed_.call("POST", path).body;
        });
        testbed::wait_until("the first attempt", [this, &path, before] {
            return testbed_.first_server().count(path) == before + 1;
        });
        state_slowdown("i-1", percent);
        return body.get();
    }

    bool has_metric(const std::string& line)
    {
        return testbed_.get_operator_page("/metrics").body.find(line) !=
               std::string::npos;
    }

    void test_the_second_response_wins_and_the_first_is_cancelled()
    {
        start();
        CPPUNIT_ASSERT_EQUAL(
            std::string("second"), call_at_slow_server("/again/", 500, 250));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.second_server().count("/again/"));
        testbed::wait_until("the end of the first attempt", [this] {
            return first_cancelled_ == 1;
        });
        CPPUNIT_ASSERT(has_metric("godwit_hedges_won_total 1"));
        // Its late answer is not taken for that of the next call, and it does
        // not count as a failure of the server.
        first_delay_ms_ = 0;
        for (int count = 0; count < 10; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
        CPPUNIT_ASSERT(
            testbed_.run_on_host<bool>([](entry::entry_process& process) {
                const placement::server_id id("i-1");
                const auto& health = process.context().health;
                return health.failure_rate(id) == 0 &&
                       !health.is_avoided(id, core::monotonic_now());
            }));
    }

    void test_the_first_response_wins_if_the_second_is_later()
    {
        second_delay_ms_ = 1000;
        start();
        CPPUNIT_ASSERT_EQUAL(
            std::string("first"), call_at_slow_server("/again/", 300, 250));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.second_server().count("/again/"));
        testbed::wait_until("the end of the second attempt", [this] {
            return second_cancelled_ == 1;
        });
        CPPUNIT_ASSERT(has_metric("godwit_hedged_calls_total 1"));
    }

    void test_a_failure_does_not_win()
    {
        second_status_ = 500;
        start();
        CPPUNIT_ASSERT_EQUAL(
            std::string("first"), call_at_slow_server("/again/", 300, 250));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.second_server().count("/again/"));
    }

    void test_a_server_that_is_not_stated_as_slow_is_waited_for()
    {
        start();
        CPPUNIT_ASSERT_EQUAL(
            std::string("first"), call_at_slow_server("/again/", 300, 149));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/again/"));
    }

    void test_a_non_idempotent_call_gets_one_attempt()
    {
        start();
        CPPUNIT_ASSERT_EQUAL(
            std::string("first"), call_at_slow_server("/once/", 300, 250));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/once/"));
    }

    void test_a_spent_budget_prevents_a_second_attempt()
    {
        start();
        testbed_.run_on_host<bool>([](entry::entry_process& process) {
            const core::time_point now = core::monotonic_now();
            while (process.context().budgets.try_spend(
                core::service_name("lm"), now))
                ;
            return true;
        });
        CPPUNIT_ASSERT_EQUAL(
            std::string("first"), call_at_slow_server("/again/", 300, 250));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/again/"));
    }

    void test_a_caller_that_leaves_ends_both_attempts()
    {
        second_delay_ms_ = 1000;
        start();
        first_delay_ms_ = 1000;
        state_slowdown("i-1", 100);
        state_slowdown("i-2", 140);
        auto left = std::async(std::launch::async, [this] {
            testbed_.call_and_disconnect("/again/", 300);
        });
        testbed::wait_until("the first attempt", [this] {
            return testbed_.first_server().count("/again/") == 21;
        });
        state_slowdown("i-1", 250);
        left.get();
        testbed::wait_until("the end of both attempts", [this] {
            return first_cancelled_ == 1 && second_cancelled_ == 1;
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedged_call_test);

} // namespace
