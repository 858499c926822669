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

fake_server::request_handler answers(unsigned status, const std::string& body)
{
    return [status, body](http::exchange& asked) -> asio::awaitable<void> {
        http::response whole =
            fake_server::signed_response(asked, status, body);
        if (status == 503)
            whole.fields.set("X-Godwitworks-Not-Executed", "1");
        [[maybe_unused]] const auto sent =
            co_await asked.respond(std::move(whole));
    };
}

class world_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(world_test);
    CPPUNIT_TEST(test_a_call_reaches_a_server_and_its_answer_the_caller);
    CPPUNIT_TEST(test_routes_and_keys);
    CPPUNIT_TEST(test_without_a_table_nothing_is_refused_for_good);
    CPPUNIT_TEST(test_a_rejected_request_goes_to_another_server);
    CPPUNIT_TEST(test_a_request_that_all_reject_has_not_run);
    CPPUNIT_TEST(test_a_lost_answer_is_not_asked_for_again);
    CPPUNIT_TEST(test_what_may_run_once_runs_once_whatever_its_attempts);
    CPPUNIT_TEST(test_a_failure_is_repeated_once_where_it_may_be);
    CPPUNIT_TEST(test_an_answer_outlives_a_repeat_that_fails);
    CPPUNIT_TEST(test_an_unsigned_success_is_no_answer);
    CPPUNIT_TEST(test_an_answer_to_another_request_is_passed_over);
    CPPUNIT_TEST(test_a_newer_table_replaces_and_an_older_one_does_not);
    CPPUNIT_TEST(test_a_table_that_cannot_be_read_changes_nothing);
    CPPUNIT_TEST(test_a_store_that_is_away_changes_nothing);
    CPPUNIT_TEST(test_a_store_that_turns_away_is_asked_ever_more_seldom);
    CPPUNIT_TEST(test_history_that_is_dropped_is_read_anew);
    CPPUNIT_TEST(test_a_stream_arrives_whole);
    CPPUNIT_TEST(test_a_stream_that_is_rejected_goes_to_another_server);
    CPPUNIT_TEST(test_a_stream_begins_where_room_is_kept);
    CPPUNIT_TEST(test_a_server_that_keeps_no_room_is_asked_once);
    CPPUNIT_TEST(test_without_holds_the_priority_is_passed_on);
    CPPUNIT_TEST(test_a_stream_that_finds_no_room_has_not_run);
    CPPUNIT_TEST(test_a_server_that_is_silent_gets_no_stream);
    CPPUNIT_TEST(test_a_server_without_holds_gets_the_stream);
    CPPUNIT_TEST(test_room_that_nobody_uses_is_given_back);
    CPPUNIT_TEST(test_a_broken_stream_does_not_look_complete);
    CPPUNIT_TEST(test_a_leaving_server_gets_nothing_new);
    CPPUNIT_TEST(test_metrics_and_state_are_served);
    CPPUNIT_TEST(test_changed_settings_are_taken_over);
    CPPUNIT_TEST(test_settings_that_cannot_be_read_change_nothing);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;

    void test_a_call_reaches_a_server_and_its_answer_the_caller()
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

    void test_routes_and_keys()
    {
        testbed_.start();
        CPPUNIT_ASSERT_EQUAL(404U, testbed_.call("GET", "/none/").status);
        CPPUNIT_ASSERT_EQUAL(401U, testbed_.call("GET", "/plain/", "x").status);
        CPPUNIT_ASSERT_EQUAL(401U, testbed_.call("GET", "/plain/", "").status);
    }

    void test_without_a_table_nothing_is_refused_for_good()
    {
        const auto answer = testbed_.call("GET", "/none/");
        CPPUNIT_ASSERT_EQUAL(503U, answer.status);
        CPPUNIT_ASSERT(answer.fields.find("Retry-After"));
        CPPUNIT_ASSERT(!testbed_.is_ready());
    }

    void test_a_rejected_request_goes_to_another_server()
    {
        testbed_.first_server().set_handler(answers(503, ""));
        testbed_.start();
        for (int count = 0; count < 6; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{6}, testbed_.second_server().count("/plain/"));
    }

    void test_a_request_that_all_reject_has_not_run()
    {
        testbed_.first_server().set_handler(answers(503, ""));
        testbed_.second_server().set_handler(answers(503, ""));
        testbed_.start();
        const auto answer = testbed_.call("POST", "/plain/");
        CPPUNIT_ASSERT_EQUAL(503U, answer.status);
        CPPUNIT_ASSERT(answer.fields.find("Retry-After"));
        CPPUNIT_ASSERT(answer.body.find("not_run") != std::string::npos);
    }

    void test_a_lost_answer_is_not_asked_for_again()
    {
        const auto lose = [](http::exchange& asked) -> asio::awaitable<void> {
            asked.cut();
            co_return;
        };
        testbed_.first_server().set_handler(lose);
        testbed_.second_server().set_handler(lose);
        testbed_.start();
        CPPUNIT_ASSERT_EQUAL(502U, testbed_.call("POST", "/plain/").status);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            testbed_.first_server().count("/plain/") +
                testbed_.second_server().count("/plain/"));
    }

    // Its route allows three servers; it did run at the first one.
    void test_what_may_run_once_runs_once_whatever_its_attempts()
    {
        const auto lose = [](http::exchange& asked) -> asio::awaitable<void> {
            asked.cut();
            co_return;
        };
        for (const bool is_lost : {false, true}) {
            testbed_.first_server().set_handler(
                is_lost ? fake_server::request_handler(lose)
                        : answers(500, "no"));
            testbed_.second_server().set_handler(
                is_lost ? fake_server::request_handler(lose)
                        : answers(500, "no"));
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

    void test_a_failure_is_repeated_once_where_it_may_be()
    {
        testbed_.first_server().set_handler(answers(500, "no"));
        testbed_.second_server().set_handler(answers(500, "no"));
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

    // The answer that is there is the caller's; a repeat that brought nothing
    // does not turn it into an unknown.
    void test_an_answer_outlives_a_repeat_that_fails()
    {
        const auto calls = std::make_shared<std::atomic<int>>(0);
        const auto fail =
            [calls](http::exchange& asked) -> asio::awaitable<void> {
            const bool is_meant = asked.received().target == "/again/";
            if (is_meant && (*calls)++ > 0) {
                asked.cut();
                co_return;
            }
            http::response failed =
                fake_server::signed_response(asked, 500, "its own words");
            [[maybe_unused]] const auto said =
                co_await asked.respond(std::move(failed));
        };
        testbed_.first_server().set_handler(fail);
        testbed_.second_server().set_handler(fail);
        testbed_.start();
        const auto answer = testbed_.call("GET", "/again/");
        CPPUNIT_ASSERT_EQUAL(2, calls->load());
        CPPUNIT_ASSERT_EQUAL(500U, answer.status);
        CPPUNIT_ASSERT_EQUAL(std::string("its own words"), answer.body);
    }

    void test_an_unsigned_success_is_no_answer()
    {
        const auto unsign = [](http::exchange& asked) -> asio::awaitable<void> {
            http::response whole =
                fake_server::signed_response(asked, 200, "?");
            whole.fields.remove("X-Godwitworks-Replica-Signature");
            [[maybe_unused]] const auto sent =
                co_await asked.respond(std::move(whole));
        };
        testbed_.first_server().set_handler(unsign);
        testbed_.second_server().set_handler(unsign);
        testbed_.start();
        CPPUNIT_ASSERT_EQUAL(502U, testbed_.call("POST", "/plain/").status);
        CPPUNIT_ASSERT_EQUAL(502U, testbed_.call("GET", "/stream/").status);
    }

    void test_an_answer_to_another_request_is_passed_over()
    {
        const auto confuse =
            [](http::exchange& asked) -> asio::awaitable<void> {
            http::response other =
                fake_server::signed_response(asked, 200, "other");
            other.fields.set("X-Godwitworks-Attempt-Id", "someone");
            [[maybe_unused]] const auto sent =
                co_await asked.respond(std::move(other));
        };
        testbed_.first_server().set_handler(confuse);
        testbed_.second_server().set_handler(confuse);
        testbed_.start();
        // The own answer never comes; the other one is not delivered.
        const auto answer = testbed_.call("POST", "/plain/");
        CPPUNIT_ASSERT(answer.status == 504U || answer.status == 502U);
        CPPUNIT_ASSERT(answer.body.find("other") == std::string::npos);
    }

    void test_a_newer_table_replaces_and_an_older_one_does_not()
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

    void test_a_table_that_cannot_be_read_changes_nothing()
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

    void test_a_store_that_is_away_changes_nothing()
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

    // Each call that the store turns away has its price.
    void test_a_store_that_turns_away_is_asked_ever_more_seldom()
    {
        testbed_.start();
        testbed_.store().set_status(503);
        const unsigned before = testbed_.store().calls();
        std::this_thread::sleep_for(std::chrono::milliseconds(2500));
        // Three topics, each asked after 0.2, 0.4, 0.8 and 1 s.
        CPPUNIT_ASSERT(testbed_.store().calls() - before <= 18);
        testbed_.publish(3);
        testbed_.store().set_status(0);
        testbed::wait_until(
            "version 3", [this] { return testbed_.table_version() == 3; });
    }

    void test_history_that_is_dropped_is_read_anew()
    {
        testbed_.start();
        testbed_.store().set_status(503);
        testbed_.publish(8);
        testbed_.store().compact();
        testbed_.store().set_status(0);
        testbed::wait_until(
            "version 8", [this] { return testbed_.table_version() == 8; });
    }

    void test_a_stream_arrives_whole()
    {
        const auto stream = [](http::exchange& asked) -> asio::awaitable<void> {
            http::response head = fake_server::signed_response(asked, 200, "");
            [[maybe_unused]] auto sent =
                co_await asked.start_stream(200, head.fields);
            for (int id = 1; id <= 3; ++id) {
                sent = co_await asked.write_chunk(event(id));
                co_await sleep(asked, 5);
            }
            sent = co_await asked.finish_stream();
        };
        testbed_.first_server().set_handler(stream);
        testbed_.second_server().set_handler(stream);
        testbed_.start();
        const auto answer = testbed_.call("POST", "/stream/");
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        CPPUNIT_ASSERT_EQUAL(event(1) + event(2) + event(3), answer.body);
    }

    /// A server that answers questions for room with `status`, and streams
    /// one event.
    static fake_server::request_handler keeps_room(unsigned status)
    {
        return [status](http::exchange& asked) -> asio::awaitable<void> {
            const bool is_question =
                asked.received().target == "/api/hold-take";
            http::response head = fake_server::signed_response(
                asked, is_question ? status : 200, R"({"hold":"q7"})");
            if (is_question && status == 0) {
                co_await sleep(asked, 2000);
            } else if (is_question) {
                [[maybe_unused]] const auto said =
                    co_await asked.respond(std::move(head));
            } else {
                [[maybe_unused]] auto said =
                    co_await asked.start_stream(200, head.fields);
                said = co_await asked.write_chunk(event(1));
                said = co_await asked.finish_stream();
            }
        };
    }

    void begin_with_holds(unsigned at_first, unsigned at_second)
    {
        testbed_.enable_holds(2000);
        testbed_.first_server().set_handler(keeps_room(at_first));
        testbed_.second_server().set_handler(keeps_room(at_second));
        testbed_.start();
    }

    // It has not run there, and its server is nearer than the other one.
    void test_a_stream_that_is_rejected_goes_to_another_server()
    {
        testbed_.first_server().set_handler(answers(503, ""));
        testbed_.second_server().set_handler(keeps_room(200));
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

    // The first server is full, whatever this host believes of it.
    void test_a_stream_begins_where_room_is_kept()
    {
        begin_with_holds(503, 200);
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

    // It would be chosen again: it is nearer than the other one.
    void test_a_server_that_keeps_no_room_is_asked_once()
    {
        testbed_.second_server().set_zone("west");
        begin_with_holds(503, 200);
        CPPUNIT_ASSERT_EQUAL(event(1), testbed_.call("POST", "/stream/").body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.first_server().count("/api/hold-take"));
    }

    // Without holds the engine's own queue keeps the order.
    void test_without_holds_the_priority_is_passed_on()
    {
        testbed_.first_server().set_handler(keeps_room(200));
        testbed_.second_server().set_handler(keeps_room(200));
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

    void test_a_stream_that_finds_no_room_has_not_run()
    {
        begin_with_holds(503, 503);
        const auto answer = testbed_.call("POST", "/stream/");
        CPPUNIT_ASSERT_EQUAL(503U, answer.status);
        CPPUNIT_ASSERT(answer.fields.find("Retry-After"));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.first_server().count("/stream/"));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
    }

    // What was not sent cannot be lost: a hung server costs a moment only.
    void test_a_server_that_is_silent_gets_no_stream()
    {
        begin_with_holds(0, 200);
        for (int count = 0; count < 4; ++count)
            CPPUNIT_ASSERT_EQUAL(
                event(1), testbed_.call("POST", "/stream/").body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.first_server().count("/stream/"));
    }

    void test_a_server_without_holds_gets_the_stream()
    {
        begin_with_holds(404, 404);
        CPPUNIT_ASSERT_EQUAL(event(1), testbed_.call("POST", "/stream/").body);
    }

    void test_room_that_nobody_uses_is_given_back()
    {
        testbed_.enable_holds(2000);
        const auto slow = [](http::exchange& asked) -> asio::awaitable<void> {
            if (asked.received().target == "/api/hold-take")
                co_await sleep(asked, 150);
            http::response kept =
                fake_server::signed_response(asked, 200, R"({"hold":"q7"})");
            [[maybe_unused]] const auto said =
                co_await asked.respond(std::move(kept));
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

    void test_a_broken_stream_does_not_look_complete()
    {
        const auto stream = [](http::exchange& asked) -> asio::awaitable<void> {
            http::response head = fake_server::signed_response(asked, 200, "");
            [[maybe_unused]] auto sent =
                co_await asked.start_stream(200, head.fields);
            sent = co_await asked.write_chunk(event(1) + "id: 2\nda");
            co_await sleep(asked, 20);
            asked.cut();
        };
        testbed_.first_server().set_handler(stream);
        testbed_.second_server().set_handler(stream);
        testbed_.start();
        // `call` fails the test itself when the body is cut.
        CPPUNIT_ASSERT_THROW(
            testbed_.call("POST", "/stream/"), CppUnit::Exception);
    }

    void test_a_leaving_server_gets_nothing_new()
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

    using reading = core::result<entry::entry_settings>;

    /// The settings after the file says what `change` makes of them.
    entry::entry_settings
    reload(const std::function<reading(entry::entry_settings)>& change)
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

    void test_changed_settings_are_taken_over()
    {
        testbed_.start();
        const auto before = reload([](const auto& same) { return same; });
        const auto after = reload([](entry::entry_settings file) -> reading {
            file.stop_grace = std::chrono::seconds(3);
            file.retry_share = 0.5;
            file.host = core::host_name("another");
            return file;
        });
        CPPUNIT_ASSERT(after.stop_grace == std::chrono::seconds(3));
        CPPUNIT_ASSERT_EQUAL(0.5, after.retry_share);
        // A name cannot change while the process runs.
        CPPUNIT_ASSERT(after.host == before.host);
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
    }

    void test_settings_that_cannot_be_read_change_nothing()
    {
        testbed_.start();
        const auto before = reload([](const auto& same) { return same; });
        const auto after = reload([](const entry::entry_settings&) -> reading {
            return core::fail(
                core::error_kind::invalid_input, "no JSON", "mend it");
        });
        CPPUNIT_ASSERT(before == after);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(world_test);

} // namespace
