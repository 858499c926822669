#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;

fake_server::request_handler
respond_with(unsigned status, const std::string& body)
{
    return [status, body](http::exchange& exchange) -> asio::awaitable<void> {
        http::response response =
            fake_server::signed_response(exchange, status, body);
        if (status == 503)
            response.fields.set("X-Godwitworks-Not-Executed", "1");
        [[maybe_unused]] const auto sent =
            co_await exchange.respond(std::move(response));
    };
}

class entry_host_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(entry_host_test);
    CPPUNIT_TEST(test_a_call_is_forwarded_and_answered);
    CPPUNIT_TEST(test_unknown_routes_and_keys_are_refused);
    CPPUNIT_TEST(test_without_a_table_callers_may_retry);
    CPPUNIT_TEST(test_a_rejected_request_goes_to_another_server);
    CPPUNIT_TEST(test_a_request_rejected_by_all_servers_is_reported_not_run);
    CPPUNIT_TEST(test_a_request_with_a_lost_response_is_not_retried);
    CPPUNIT_TEST(test_a_non_idempotent_request_runs_once_despite_max_attempts);
    CPPUNIT_TEST(test_only_idempotent_requests_are_retried_after_a_failure);
    CPPUNIT_TEST(test_a_failed_retry_does_not_discard_the_first_response);
    CPPUNIT_TEST(test_an_unsigned_success_is_rejected);
    CPPUNIT_TEST(test_a_response_to_another_request_is_discarded);
    CPPUNIT_TEST(test_only_newer_tables_are_applied);
    CPPUNIT_TEST(test_malformed_records_are_ignored);
    CPPUNIT_TEST(test_requests_are_served_during_a_store_outage);
    CPPUNIT_TEST(test_retries_against_a_failing_store_back_off);
    CPPUNIT_TEST(test_a_compacted_topic_is_resynced);
    CPPUNIT_TEST(test_a_stream_is_delivered_completely);
    CPPUNIT_TEST(test_a_rejected_stream_goes_to_another_server);
    CPPUNIT_TEST(test_a_stream_goes_to_the_server_that_grants_a_hold);
    CPPUNIT_TEST(test_a_server_that_refuses_a_hold_is_not_asked_again);
    CPPUNIT_TEST(test_without_holds_the_priority_is_forwarded);
    CPPUNIT_TEST(test_a_stream_without_any_hold_is_reported_not_run);
    CPPUNIT_TEST(test_an_unresponsive_server_gets_no_stream);
    CPPUNIT_TEST(test_a_server_without_holds_still_gets_the_stream);
    CPPUNIT_TEST(test_an_unused_hold_is_released);
    CPPUNIT_TEST(test_an_interrupted_stream_does_not_look_complete);
    CPPUNIT_TEST(test_a_draining_server_gets_no_new_requests);
    CPPUNIT_TEST(test_metrics_and_state_are_served);
    CPPUNIT_TEST(test_reloaded_settings_are_applied);
    CPPUNIT_TEST(test_invalid_settings_are_ignored);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;

    void test_a_call_is_forwarded_and_answered()
    {
        testbed_.start();
        const auto answer = testbed_.call("POST", "/plain/7?x=1");
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), answer.body);
        CPPUNIT_ASSERT(answer.fields.find("X-Godwitworks-Replica-Signature"));
        const std::string target = "/plain/7?x=1";
        auto sent = testbed_.first_server().received();
        const auto others = testbed_.second_server().received();
        sent.insert(sent.end(), others.begin(), others.end());
        std::erase_if(sent, [&target](const http::request& one) {
            return one.target != target;
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, sent.size());
        const auto& fields = sent.front().fields;
        CPPUNIT_ASSERT(fields.find("X-Godwitworks-Tenant") == "north");
        CPPUNIT_ASSERT(fields.find("Host") == "a.example");
        CPPUNIT_ASSERT(!fields.find("Authorization"));
        CPPUNIT_ASSERT(fields.find("X-Godwitworks-Deadline-Ms"));
    }

    void test_unknown_routes_and_keys_are_refused()
    {
        testbed_.start();
        CPPUNIT_ASSERT_EQUAL(404U, testbed_.call("GET", "/none/").status);
        CPPUNIT_ASSERT_EQUAL(401U, testbed_.call("GET", "/plain/", "x").status);
        CPPUNIT_ASSERT_EQUAL(401U, testbed_.call("GET", "/plain/", "").status);
    }

    void test_without_a_table_callers_may_retry()
    {
        const auto answer = testbed_.call("GET", "/none/");
        CPPUNIT_ASSERT_EQUAL(503U, answer.status);
        CPPUNIT_ASSERT(answer.fields.find("Retry-After"));
        CPPUNIT_ASSERT(!testbed_.is_ready());
    }

    void test_a_rejected_request_goes_to_another_server()
    {
        testbed_.first_server().set_handler(respond_with(503, ""));
        testbed_.start();
        for (int count = 0; count < 6; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{6}, testbed_.second_server().count("/plain/"));
    }

    void test_a_request_rejected_by_all_servers_is_reported_not_run()
    {
        testbed_.first_server().set_handler(respond_with(503, ""));
        testbed_.second_server().set_handler(respond_with(503, ""));
        testbed_.start();
        const auto answer = testbed_.call("POST", "/plain/");
        CPPUNIT_ASSERT_EQUAL(503U, answer.status);
        CPPUNIT_ASSERT(answer.fields.find("Retry-After"));
        CPPUNIT_ASSERT(answer.body.find("not_run") != std::string::npos);
    }

    void test_a_request_with_a_lost_response_is_not_retried()
    {
        const auto cut_connection =
            [](http::exchange& exchange) -> asio::awaitable<void> {
            exchange.cut();
            co_return;
        };
        testbed_.first_server().set_handler(cut_connection);
        testbed_.second_server().set_handler(cut_connection);
        testbed_.start();
        CPPUNIT_ASSERT_EQUAL(502U, testbed_.call("POST", "/plain/").status);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            testbed_.first_server().count("/plain/") +
                testbed_.second_server().count("/plain/"));
    }

    // The route allows three attempts, but the request has run at the first
    // server.
    void test_a_non_idempotent_request_runs_once_despite_max_attempts()
    {
        const auto cut_connection =
            [](http::exchange& exchange) -> asio::awaitable<void> {
            exchange.cut();
            co_return;
        };
        for (const bool is_lost : {false, true}) {
            testbed_.first_server().set_handler(
                is_lost ? fake_server::request_handler(cut_connection)
                        : respond_with(500, "no"));
            testbed_.second_server().set_handler(
                is_lost ? fake_server::request_handler(cut_connection)
                        : respond_with(500, "no"));
            if (!is_lost)
                testbed_.start();
            const std::size_t before = testbed_.first_server().count("/once/") +
                                       testbed_.second_server().count("/once/");
            CPPUNIT_ASSERT_EQUAL(
                is_lost ? 502U : 500U, testbed_.call("POST", "/once/").status);
            CPPUNIT_ASSERT_EQUAL(
                before + 1,
                testbed_.first_server().count("/once/") +
                    testbed_.second_server().count("/once/"));
        }
    }

    void test_only_idempotent_requests_are_retried_after_a_failure()
    {
        testbed_.first_server().set_handler(respond_with(500, "no"));
        testbed_.second_server().set_handler(respond_with(500, "no"));
        testbed_.start();
        CPPUNIT_ASSERT_EQUAL(500U, testbed_.call("POST", "/plain/").status);
        CPPUNIT_ASSERT_EQUAL(500U, testbed_.call("GET", "/again/").status);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2},
            testbed_.first_server().count("/again/") +
                testbed_.second_server().count("/again/"));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            testbed_.first_server().count("/plain/") +
                testbed_.second_server().count("/plain/"));
    }

    // The caller gets the response that has arrived; a retry without a response
    // does not make the outcome unknown.
    void test_a_failed_retry_does_not_discard_the_first_response()
    {
        const auto calls = std::make_shared<std::atomic<int>>(0);
        const auto fail =
            [calls](http::exchange& exchange) -> asio::awaitable<void> {
            const bool is_tested_route =
                exchange.received().target == "/again/";
            if (is_tested_route && (*calls)++ > 0) {
                exchange.cut();
                co_return;
            }
            http::response failed =
                fake_server::signed_response(exchange, 500, "its own words");
            [[maybe_unused]] const auto sent =
                co_await exchange.respond(std::move(failed));
        };
        testbed_.first_server().set_handler(fail);
        testbed_.second_server().set_handler(fail);
        testbed_.start();
        const auto answer = testbed_.call("GET", "/again/");
        CPPUNIT_ASSERT_EQUAL(2, calls->load());
        CPPUNIT_ASSERT_EQUAL(500U, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("its own words"), answer.body);
    }

    void test_an_unsigned_success_is_rejected()
    {
        const auto omit_signature =
            [](http::exchange& exchange) -> asio::awaitable<void> {
            http::response response =
                fake_server::signed_response(exchange, 200, "?");
            response.fields.remove("X-Godwitworks-Replica-Signature");
            [[maybe_unused]] const auto sent =
                co_await exchange.respond(std::move(response));
        };
        testbed_.first_server().set_handler(omit_signature);
        testbed_.second_server().set_handler(omit_signature);
        testbed_.start();
        CPPUNIT_ASSERT_EQUAL(502U, testbed_.call("POST", "/plain/").status);
        CPPUNIT_ASSERT_EQUAL(502U, testbed_.call("GET", "/stream/").status);
    }

    void test_a_response_to_another_request_is_discarded()
    {
        const auto answer_another_request =
            [](http::exchange& exchange) -> asio::awaitable<void> {
            http::response other =
                fake_server::signed_response(exchange, 200, "other");
            other.fields.set("X-Godwitworks-Attempt-Id", "someone");
            [[maybe_unused]] const auto sent =
                co_await exchange.respond(std::move(other));
        };
        testbed_.first_server().set_handler(answer_another_request);
        testbed_.second_server().set_handler(answer_another_request);
        testbed_.start();
        // The request gets no response of its own, and the other is not
        // delivered.
        const auto answer = testbed_.call("POST", "/plain/");
        CPPUNIT_ASSERT(answer.status == 504U || answer.status == 502U);
        CPPUNIT_ASSERT(answer.body.find("other") == std::string::npos);
    }

    void test_only_newer_tables_are_applied()
    {
        testbed_.start();
        CPPUNIT_ASSERT_EQUAL(
            401U, testbed_.call("GET", "/plain/", "k2").status);
        testbed_.publish(5, "k2");
        testbed::wait_until(
            "version 5", [this] { return testbed_.table_version() == 5; });
        CPPUNIT_ASSERT_EQUAL(
            200U, testbed_.call("GET", "/plain/", "k2").status);
        testbed_.publish(4);
        testbed_.publish(6, "k3");
        testbed::wait_until(
            "version 6", [this] { return testbed_.table_version() == 6; });
        CPPUNIT_ASSERT_EQUAL(
            401U, testbed_.call("GET", "/plain/", "k2").status);
    }

    void test_malformed_records_are_ignored()
    {
        testbed_.start();
        testbed_.store().put(
            "keyed.op", "config", R"({"version":9,"routes":7)");
        testbed_.store().put("keyed.op", "config", std::string(100000, '{'));
        testbed_.store().put("keyed.servers", "i-3", "no server");
        testbed_.publish(3, "k3");
        testbed::wait_until(
            "version 3", [this] { return testbed_.table_version() == 3; });
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("GET", "/plain/").status);
    }

    void test_requests_are_served_during_a_store_outage()
    {
        testbed_.start();
        for (const unsigned status : {503U, 429U, 500U}) {
            testbed_.store().set_status(status);
            const unsigned before = testbed_.store().calls();
            testbed::wait_until("calls", [this, before] {
                return testbed_.store().calls() > before + 2;
            });
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("GET", "/plain/").status);
            CPPUNIT_ASSERT(testbed_.is_ready());
        }
        testbed_.publish(2, "k2");
        testbed_.store().set_status(0);
        testbed::wait_until(
            "version 2", [this] { return testbed_.table_version() == 2; });
    }

    // Each call that the store rejects has a cost.
    void test_retries_against_a_failing_store_back_off()
    {
        testbed_.start();
        testbed_.store().set_status(503);
        const unsigned before = testbed_.store().calls();
        std::this_thread::sleep_for(std::chrono::milliseconds(2500));
        // Three topics, each retried after 0.2, 0.4, 0.8 and 1 s.
        CPPUNIT_ASSERT(testbed_.store().calls() - before <= 18);
        testbed_.publish(3);
        testbed_.store().set_status(0);
        testbed::wait_until(
            "version 3", [this] { return testbed_.table_version() == 3; });
    }

    void test_a_compacted_topic_is_resynced()
    {
        testbed_.start();
        testbed_.store().set_status(503);
        testbed_.publish(8);
        testbed_.store().compact();
        testbed_.store().set_status(0);
        testbed::wait_until(
            "version 8", [this] { return testbed_.table_version() == 8; });
    }

    void test_a_stream_is_delivered_completely()
    {
        const auto stream =
            [](http::exchange& exchange) -> asio::awaitable<void> {
            http::response head =
                fake_server::signed_response(exchange, 200, "");
            [[maybe_unused]] auto sent =
                co_await exchange.start_stream(200, head.fields);
            for (int id = 1; id <= 3; ++id) {
                sent = co_await exchange.write_chunk(event(id));
                co_await sleep(exchange, 5);
            }
            sent = co_await exchange.finish_stream();
        };
        testbed_.first_server().set_handler(stream);
        testbed_.second_server().set_handler(stream);
        testbed_.start();
        const auto answer = testbed_.call("POST", "/stream/");
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), answer.body);
    }

    /// A server that answers hold requests with `status`, or not at all if it
    /// is 0, and streams one event.
    static fake_server::request_handler answers_hold_requests(unsigned status)
    {
        return [status](http::exchange& exchange) -> asio::awaitable<void> {
            const bool is_hold_request =
                exchange.received().target == "/api/hold-take";
            http::response head = fake_server::signed_response(
                exchange, is_hold_request ? status : 200, R"({"hold":"q7"})");
            if (is_hold_request && status == 0) {
                co_await sleep(exchange, 2000);
            } else if (is_hold_request) {
                [[maybe_unused]] const auto sent =
                    co_await exchange.respond(std::move(head));
            } else {
                [[maybe_unused]] auto sent =
                    co_await exchange.start_stream(200, head.fields);
                sent = co_await exchange.write_chunk(event(1));
                sent = co_await exchange.finish_stream();
            }
        };
    }

    void start_with_holds(unsigned first_status, unsigned second_status)
    {
        testbed_.enable_holds(2000);
        testbed_.first_server().set_handler(
            answers_hold_requests(first_status));
        testbed_.second_server().set_handler(
            answers_hold_requests(second_status));
        testbed_.start();
    }

    // The rejecting server is in the host's zone; the other one is farther
    // away.
    void test_a_rejected_stream_goes_to_another_server()
    {
        testbed_.first_server().set_handler(respond_with(503, ""));
        testbed_.second_server().set_handler(answers_hold_requests(200));
        testbed_.second_server().set_zone("west");
        testbed_.start();
        const auto answer = testbed_.call("POST", "/stream/");
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        CPPUNIT_ASSERT_EQUAL(event(1), answer.body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.first_server().count("/stream/"));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.second_server().count("/stream/"));
    }

    // The first server is full, whatever load this host assumes.
    void test_a_stream_goes_to_the_server_that_grants_a_hold()
    {
        start_with_holds(503, 200);
        for (int count = 0; count < 4; ++count)
            CPPUNIT_ASSERT_EQUAL(
                event(1), testbed_.call("POST", "/stream/").body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.first_server().count("/stream/"));
        for (const http::request& one : testbed_.second_server().received()) {
            if (one.target != "/stream/")
                continue;
            CPPUNIT_ASSERT(one.fields.find("X-Godwitworks-Hold") == "q7");
            CPPUNIT_ASSERT(!one.fields.find("X-Godwitworks-Request-Priority"));
        }
    }

    // It would be chosen again, since it is nearer than the other server.
    void test_a_server_that_refuses_a_hold_is_not_asked_again()
    {
        testbed_.second_server().set_zone("west");
        start_with_holds(503, 200);
        CPPUNIT_ASSERT_EQUAL(event(1), testbed_.call("POST", "/stream/").body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.first_server().count("/api/hold-take"));
    }

    // Without holds the engine's own queue determines the order.
    void test_without_holds_the_priority_is_forwarded()
    {
        testbed_.first_server().set_handler(answers_hold_requests(200));
        testbed_.second_server().set_handler(answers_hold_requests(200));
        testbed_.start();
        (void)testbed_.call("POST", "/stream/");
        std::size_t count = 0;
        for (auto* server :
             {&testbed_.first_server(), &testbed_.second_server()}) {
            for (const http::request& one : server->received())
                count +=
                    one.fields.find("X-Godwitworks-Request-Priority") == "1"
                        ? 1
                        : 0;
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, count);
    }

    void test_a_stream_without_any_hold_is_reported_not_run()
    {
        start_with_holds(503, 503);
        const auto answer = testbed_.call("POST", "/stream/");
        CPPUNIT_ASSERT_EQUAL(503U, answer.status);
        CPPUNIT_ASSERT(answer.fields.find("Retry-After"));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.first_server().count("/stream/"));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
    }

    // A stream that was not sent cannot be lost: an unresponsive server costs
    // only a short delay.
    void test_an_unresponsive_server_gets_no_stream()
    {
        start_with_holds(0, 200);
        for (int count = 0; count < 4; ++count)
            CPPUNIT_ASSERT_EQUAL(
                event(1), testbed_.call("POST", "/stream/").body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.first_server().count("/stream/"));
    }

    void test_a_server_without_holds_still_gets_the_stream()
    {
        start_with_holds(404, 404);
        CPPUNIT_ASSERT_EQUAL(event(1), testbed_.call("POST", "/stream/").body);
    }

    void test_an_unused_hold_is_released()
    {
        testbed_.enable_holds(2000);
        const auto slow =
            [](http::exchange& exchange) -> asio::awaitable<void> {
            if (exchange.received().target == "/api/hold-take")
                co_await sleep(exchange, 150);
            http::response kept =
                fake_server::signed_response(exchange, 200, R"({"hold":"q7"})");
            [[maybe_unused]] const auto sent =
                co_await exchange.respond(std::move(kept));
        };
        testbed_.first_server().set_handler(slow);
        testbed_.second_server().set_handler(slow);
        testbed_.start();
        testbed_.call_and_disconnect("/stream/", 50);
        testbed::wait_until("the release", [this] {
            return testbed_.first_server().count("/api/hold-drop/q7") +
                       testbed_.second_server().count("/api/hold-drop/q7") ==
                   1;
        });
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.first_server().count("/stream/"));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
    }

    void test_an_interrupted_stream_does_not_look_complete()
    {
        const auto stream =
            [](http::exchange& exchange) -> asio::awaitable<void> {
            http::response head =
                fake_server::signed_response(exchange, 200, "");
            [[maybe_unused]] auto sent =
                co_await exchange.start_stream(200, head.fields);
            sent = co_await exchange.write_chunk(event(1) + "id: 2\nda");
            co_await sleep(exchange, 20);
            exchange.cut();
        };
        testbed_.first_server().set_handler(stream);
        testbed_.second_server().set_handler(stream);
        testbed_.start();
        // `call` itself fails the test if the body is incomplete.
        CPPUNIT_ASSERT_THROW(
            testbed_.call("POST", "/stream/"), CppUnit::Exception);
    }

    void test_a_draining_server_gets_no_new_requests()
    {
        testbed_.start();
        testbed_.register_server(testbed_.first_server(), "draining");
        for (int count = 0; count < 10; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("GET", "/plain/").status);
        testbed_.store().put("keyed.servers", "i-2", std::nullopt);
        testbed::wait_until("the second to leave", [this] {
            return testbed_.call("GET", "/plain/").status == 503;
        });
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.first_server().count("/plain/"));
    }

    void test_metrics_and_state_are_served()
    {
        testbed_.start();
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("GET", "/plain/").status);
        const auto metrics = testbed_.get_operator_page("/metrics").body;
        const std::string completed =
            "godwit_requests_total{class=\"plain\",outcome=\"completed\","
            "service=\"lm\"} 1\n";
        for (const std::string& line :
             {completed,
              std::string("godwit_table_version 1\n"),
              std::string("godwit_servers_known 2\n"),
              std::string("godwit_server_list_current 1\n"),
              std::string("# TYPE godwit_request_seconds histogram\n")})
            CPPUNIT_ASSERT_MESSAGE(
                line, metrics.find(line) != std::string::npos);
        const auto state = testbed_.get_operator_page("/state").body;
        CPPUNIT_ASSERT(state.find("\"table_version\":1") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(404U, testbed_.get_operator_page("/none").status);
    }

    using settings_result = core::result<entry::entry_settings>;

    /// Reloads the settings as changed by `change`; returns those in effect.
    entry::entry_settings
    reload(const std::function<settings_result(entry::entry_settings)>& change)
    {
        return testbed_.run_on_host<entry::entry_settings>(
            [&change](entry::entry_process& process) {
                process.set_settings_reader(
                    [&change, now = process.context().settings] {
                        return change(now);
                    });
                process.reload();
                process.set_settings_reader({});
                return process.context().settings;
            });
    }

    void test_reloaded_settings_are_applied()
    {
        testbed_.start();
        const auto before = reload([](const auto& current) { return current; });
        const auto after =
            reload([](entry::entry_settings changed) -> settings_result {
                changed.stop_grace = std::chrono::seconds(3);
                changed.retry_share = 0.5;
                changed.host = core::host_name("another");
                return changed;
            });
        CPPUNIT_ASSERT(after.stop_grace == std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(0.5, after.retry_share);
        // The host's name cannot change while the process runs.
        CPPUNIT_ASSERT(after.host == before.host);
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
    }

    void test_invalid_settings_are_ignored()
    {
        testbed_.start();
        const auto before = reload([](const auto& current) { return current; });
        const auto after =
            reload([](const entry::entry_settings&) -> settings_result {
                return core::fail(
                    core::error_kind::invalid_input, "no JSON", "mend it");
            });
        CPPUNIT_ASSERT(before == after);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_host_test);

} // namespace
