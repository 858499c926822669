// Guards against a request that crashes servers being sent to one server after
// another as long as its caller repeats it.

#include "fake_neighbours.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;

constexpr const char* crashing_body = "crash";

// Crashes the server after the response head for `crashing_body`.
fake_server::request_handler crash_or_answer(fake_server& server)
{
    return [&server](http::exchange& exchange) -> asio::awaitable<void> {
        if (exchange.received().body == crashing_body) {
            [[maybe_unused]] const auto started =
                co_await exchange.start_stream(
                    200, fake_server::signed_fields(exchange));
            server.crash();
            exchange.cut();
            co_return;
        }
        co_await respond_with_event(exchange);
    };
}

class crashing_requests_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crashing_requests_test);
    CPPUNIT_TEST(test_a_repeated_stream_crashes_three_servers_at_most);
    CPPUNIT_TEST(test_a_repeated_buffered_call_crashes_three_servers_at_most);
    CPPUNIT_TEST(test_automatic_retries_crash_three_servers_at_most);
    CPPUNIT_TEST(test_a_quarantined_request_is_refused_without_retry_after);
    CPPUNIT_TEST(test_other_requests_are_served_during_a_quarantine);
    CPPUNIT_TEST(test_a_completed_run_between_crashes_prevents_a_quarantine);
    CPPUNIT_TEST(test_runs_lost_at_a_server_that_still_answers_do_not_count);
    CPPUNIT_TEST(test_runs_lost_at_a_draining_server_do_not_count);
    CPPUNIT_TEST(test_crashes_reported_by_neighbours_count);
    CPPUNIT_TEST(test_a_new_neighbour_receives_the_known_crashes);
    CPPUNIT_TEST(test_a_malformed_report_changes_nothing);
    CPPUNIT_TEST(test_a_stored_quarantine_applies_after_all_hosts_end);
    CPPUNIT_TEST(test_deleting_the_record_ends_the_quarantine);
    CPPUNIT_TEST(test_a_quarantine_that_the_store_lost_is_rewritten);
    CPPUNIT_TEST(test_a_restored_store_does_not_bring_back_a_quarantine);
    CPPUNIT_TEST(test_a_record_that_is_written_after_its_end_is_removed);
    CPPUNIT_TEST(test_a_neighbour_is_told_of_a_completed_run_that_it_missed);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;

    void begin()
    {
        testbed_.first_server().set_handler(
            crash_or_answer(testbed_.first_server()));
        testbed_.second_server().set_handler(
            crash_or_answer(testbed_.second_server()));
        testbed_.start();
        restart_servers();
    }

    // Waits for pending probes first, since a restarted server would answer
    // them.
    void restart_servers()
    {
        testbed::wait_until("the probes", [this] {
            return testbed_.run_on_host<bool>(
                [](entry::entry_process& process) {
                    return process.context().crash_probes.empty();
                });
        });
        testbed_.restart(testbed_.first_server());
        testbed_.restart(testbed_.second_server());
    }

    static std::optional<wire::message> no_table(const wire::pull& /*pull*/)
    {
        return std::nullopt;
    }

    std::optional<std::pair<std::string, std::string>> quarantine_record()
    {
        return testbed_.store().find("keyed.hosts", "quarantine/");
    }

    std::uint64_t quarantined_count() { return quarantined_count(testbed_); }

    static std::uint64_t quarantined_count(testbed& hosts)
    {
        return hosts.run_on_host<std::uint64_t>(
            [](entry::entry_process& process) {
                return process.context().quarantine.quarantined_count();
            });
    }

    std::size_t crash_count()
    {
        std::size_t count = 0;
        for (fake_server* server :
             {&testbed_.first_server(), &testbed_.second_server()}) {
            const auto received = server->received();
            count += static_cast<std::size_t>(std::count_if(
                received.begin(), received.end(), [](const http::request& one) {
                    return one.body == crashing_body;
                }));
        }
        return count;
    }

    void repeat_crashing_request(const std::string& path)
    {
        constexpr int repeats = 8;
        for (int repeat = 0; repeat < repeats; ++repeat) {
            [[maybe_unused]] const auto response =
                testbed_.try_call(path, crashing_body);
            restart_servers();
        }
    }

    void test_a_repeated_stream_crashes_three_servers_at_most()
    {
        begin();
        repeat_crashing_request("/stream/");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, crash_count());
    }

    void test_a_repeated_buffered_call_crashes_three_servers_at_most()
    {
        begin();
        repeat_crashing_request("/plain/");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, crash_count());
    }

    // The route is idempotent and allows two attempts for each call.
    void test_automatic_retries_crash_three_servers_at_most()
    {
        begin();
        repeat_crashing_request("/again/");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, crash_count());
    }

    void test_a_quarantined_request_is_refused_without_retry_after()
    {
        begin();
        repeat_crashing_request("/stream/");
        const auto response = testbed_.try_call("/stream/", crashing_body);
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(503U, response->status);
        CPPUNIT_ASSERT(!response->fields.find("Retry-After"));
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"({"title":"quarantined","outcome":"not_run"})"),
            response->body);
    }

    void test_other_requests_are_served_during_a_quarantine()
    {
        begin();
        repeat_crashing_request("/stream/");
        for (const char* body : {"", "crasher", "other"}) {
            const auto response = testbed_.try_call("/stream/", body);
            CPPUNIT_ASSERT(response);
            CPPUNIT_ASSERT_EQUAL(200U, response->status);
        }
        // The same body on another route is another request.
        [[maybe_unused]] const auto cut =
            testbed_.try_call("/plain/", crashing_body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, crash_count());
    }

    void test_a_completed_run_between_crashes_prevents_a_quarantine()
    {
        begin();
        std::atomic<bool> is_crashing = false;
        const auto make_handler = [&is_crashing](fake_server& server) {
            return [&is_crashing, &server](
                       http::exchange& exchange) -> asio::awaitable<void> {
                if (is_crashing && exchange.received().body == "probe") {
                    server.crash();
                    exchange.cut();
                    co_return;
                }
                http::response response =
                    fake_server::signed_response(exchange, 200, "hello");
                [[maybe_unused]] const auto sent =
                    co_await exchange.respond(std::move(response));
            };
        };
        testbed_.first_server().set_handler(
            make_handler(testbed_.first_server()));
        testbed_.second_server().set_handler(
            make_handler(testbed_.second_server()));
        for (int round = 0; round < 6; ++round) {
            is_crashing = true;
            const auto lost = testbed_.try_call("/plain/", "probe");
            CPPUNIT_ASSERT(!lost || lost->status == 502);
            restart_servers();
            is_crashing = false;
            const auto response = testbed_.try_call("/plain/", "probe");
            CPPUNIT_ASSERT(response);
            CPPUNIT_ASSERT_EQUAL(200U, response->status);
        }
    }

    // A broken connection alone is not a crash.
    void test_runs_lost_at_a_server_that_still_answers_do_not_count()
    {
        const auto make_handler = [](const std::string& report) {
            return [report](http::exchange& exchange) -> asio::awaitable<void> {
                if (exchange.received().body == crashing_body) {
                    exchange.cut();
                    co_return;
                }
                http::response response =
                    fake_server::signed_response(exchange, 200, report);
                [[maybe_unused]] const auto sent =
                    co_await exchange.respond(std::move(response));
            };
        };
        // The records of the servers have no start time, so a report that has
        // one must not count as a restart.
        testbed_.first_server().set_handler(
            make_handler(R"({"state":"ready","born":5})"));
        testbed_.second_server().set_handler(
            make_handler(R"({"state":"ready","born":5})"));
        testbed_.start();
        [[maybe_unused]] const auto lost =
            testbed_.try_call("/plain/", crashing_body);
        restart_servers();
        CPPUNIT_ASSERT(
            testbed_.run_on_host<bool>([](entry::entry_process& process) {
                return process.context().quarantine.empty();
            }));
        testbed_.first_server().set_handler(
            make_handler(R"({"state":"ready"})"));
        testbed_.second_server().set_handler(
            make_handler(R"({"state":"ready"})"));
        repeat_crashing_request("/plain/");
        CPPUNIT_ASSERT_EQUAL(std::size_t{9}, crash_count());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, quarantined_count());
    }

    // A draining server closes the connections of its remaining runs when it
    // stops.
    void test_runs_lost_at_a_draining_server_do_not_count()
    {
        constexpr int restarts = 4;
        for (int restart = 0; restart < restarts; ++restart) {
            // Whether the entry host knows that the server drains.
            std::atomic<bool> is_draining_known = false;
            testbed_.first_server().set_handler(
                [this, &is_draining_known](
                    http::exchange& exchange) -> asio::awaitable<void> {
                    [[maybe_unused]] const auto started =
                        co_await exchange.start_stream(
                            200, fake_server::signed_fields(exchange));
                    [[maybe_unused]] const auto first =
                        co_await exchange.write_chunk(event(1));
                    while (!is_draining_known)
                        co_await sleep(exchange, 5);
                    co_await sleep(exchange, 50);
                    testbed_.first_server().crash();
                    exchange.cut();
                });
            if (restart == 0)
                testbed_.start_with_first_server();
            testbed_.restart(testbed_.first_server());
            std::thread leaving([this, &is_draining_known] {
                std::this_thread::sleep_for(std::chrono::milliseconds(100));
                testbed_.register_server(testbed_.first_server(), "draining");
                is_draining_known = true;
            });
            [[maybe_unused]] const auto cut =
                testbed_.try_call("/stream/", "sound");
            leaving.join();
        }
        CPPUNIT_ASSERT(
            testbed_.run_on_host<bool>([](entry::entry_process& process) {
                return process.context().quarantine.empty();
            }));
    }

    void test_crashes_reported_by_neighbours_count()
    {
        begin();
        fake_neighbours others(2, testbed_.neighbours(), &no_table);
        others.announce_table_version(1);
        [[maybe_unused]] const auto cut =
            testbed_.try_call("/stream/", crashing_body);
        testbed::wait_until("the report", [&others] {
            return others.crash_reports().size() >= 2;
        });
        wire::crash_reports message = others.crash_reports().front();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, message.reports.size());
        message.reports.front().crashes = {{"i-8", 1, 0}, {"i-9", 1, 0}};
        others.broadcast(message);
        testbed::wait_until(
            "the quarantine", [this] { return quarantined_count() == 1; });
        [[maybe_unused]] const auto refused =
            testbed_.try_call("/stream/", crashing_body);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, crash_count());

        message.completed = {message.reports.front().request};
        message.reports.clear();
        others.broadcast(message);
        testbed::wait_until("the end of the quarantine", [this] {
            return quarantined_count() == 0;
        });
    }

    void test_a_new_neighbour_receives_the_known_crashes()
    {
        begin();
        repeat_crashing_request("/stream/");
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        testbed::wait_until("the report", [&others] {
            return !others.crash_reports().empty();
        });
        const auto received = others.crash_reports().front();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.reports.size());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{3}, received.reports.front().crashes.size());
        CPPUNIT_ASSERT_EQUAL(
            std::string("north"),
            received.reports.front().organisation.value());
    }

    // Guards against losing a quarantine when all hosts end at the same time.
    void test_a_stored_quarantine_applies_after_all_hosts_end()
    {
        begin();
        repeat_crashing_request("/stream/");
        testbed::wait_until("the quarantine record", [this] {
            return quarantine_record().has_value();
        });
        const auto record = quarantine_record();
        testbed restarted;
        restarted.first_server().set_handler(
            crash_or_answer(restarted.first_server()));
        restarted.second_server().set_handler(
            crash_or_answer(restarted.second_server()));
        restarted.store().put("keyed.hosts", record->first, record->second);
        restarted.start();
        testbed::wait_until("the quarantine", [&restarted] {
            return quarantined_count(restarted) == 1;
        });
        const auto response = restarted.try_call("/stream/", crashing_body);
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(503U, response->status);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0},
            restarted.first_server().count("/stream/") +
                restarted.second_server().count("/stream/"));
    }

    void test_deleting_the_record_ends_the_quarantine()
    {
        begin();
        repeat_crashing_request("/stream/");
        testbed::wait_until("the quarantine record", [this] {
            return quarantine_record().has_value();
        });
        testbed_.store().put(
            "keyed.hosts", quarantine_record()->first, std::nullopt);
        testbed::wait_until("the end of the quarantine", [this] {
            return quarantined_count() == 0;
        });
        testbed_.store().put("keyed.hosts", "quarantine/none", "{}");
        testbed_.store().put("keyed.hosts", "quarantine/", std::nullopt);
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, quarantined_count());
    }

    void test_a_quarantine_that_the_store_lost_is_rewritten()
    {
        begin();
        testbed_.store().back_up();
        repeat_crashing_request("/stream/");
        testbed::wait_until(
            "the record", [this] { return quarantine_record().has_value(); });
        const std::string key = quarantine_record()->first;
        testbed_.store().restore();
        testbed::wait_until("the record again", [this, &key] {
            return testbed_.store().has("keyed.hosts", key);
        });
    }

    void test_a_restored_store_does_not_bring_back_a_quarantine()
    {
        begin();
        repeat_crashing_request("/stream/");
        testbed::wait_until(
            "the record", [this] { return quarantine_record().has_value(); });
        const std::string key = quarantine_record()->first;
        testbed_.store().back_up();
        testbed_.store().put("keyed.hosts", key, std::nullopt);
        testbed::wait_until(
            "its end", [this] { return quarantined_count() == 0; });
        testbed_.store().restore();
        testbed::wait_until("the record's end", [this, &key] {
            return !testbed_.store().has("keyed.hosts", key);
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, quarantined_count());
    }

    std::pair<std::string, std::string> start_and_end_quarantine()
    {
        begin();
        repeat_crashing_request("/stream/");
        testbed::wait_until(
            "the record", [this] { return quarantine_record().has_value(); });
        auto record = quarantine_record().value();
        testbed_.store().put("keyed.hosts", record.first, std::nullopt);
        testbed::wait_until(
            "its end", [this] { return quarantined_count() == 0; });
        return record;
    }

    // A retried write may be applied after the one that ends the quarantine.
    void test_a_record_that_is_written_after_its_end_is_removed()
    {
        const auto [key, value] = start_and_end_quarantine();
        testbed_.store().put("keyed.hosts", key, value);
        testbed::wait_until("the record's end", [this, &key = key] {
            return !testbed_.store().has("keyed.hosts", key);
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, quarantined_count());
    }

    void test_a_neighbour_is_told_of_a_completed_run_that_it_missed()
    {
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        const auto [key, value] = start_and_end_quarantine();
        const auto received_before = others.crash_reports();
        const auto crashes = std::find_if(
            received_before.begin(),
            received_before.end(),
            [](const auto& each) { return !each.reports.empty(); });
        CPPUNIT_ASSERT(crashes != received_before.end());
        others.broadcast(*crashes);
        testbed::wait_until("the correction", [&others, &received_before] {
            const auto received_now = others.crash_reports();
            return std::any_of(
                received_now.begin() +
                    static_cast<std::ptrdiff_t>(received_before.size()),
                received_now.end(),
                [](const auto& each) { return !each.completed.empty(); });
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, quarantined_count());
    }

    void test_a_malformed_report_changes_nothing()
    {
        begin();
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        others.broadcast(wire::crash_reports{
            {{"no fingerprint",
              core::organisation_name("north"),
              {{"i-1", 1, 0}, {"i-2", 1, 0}, {"i-3", 1, 0}}}},
            {"no fingerprint either"}});
        const std::string counter = "godwit_refused_crash_reports_total 1";
        testbed::wait_until("the refused report", [this, &counter] {
            return testbed_.get_operator_page("/metrics").body.find(counter) !=
                   std::string::npos;
        });
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, quarantined_count());
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/plain/").status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_requests_test);

} // namespace
