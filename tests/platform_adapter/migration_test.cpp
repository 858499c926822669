#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;

/// A server that streams events until the final copy of a KV cache stops it. A
/// resumed stream continues after the event that the request names.
struct migrating_server
{
    std::atomic<bool> stopped = false;
    std::atomic<int> sent = 0;
    unsigned last_copy_status = 200;
    /// The first so many copies fail for lack of capacity at the destination.
    int refused_copies = 0;
    int slow_copy_ms = 150;
    int slow_copies = 0; ///< The first so many take slow_copy_ms.
    int events = 1000;
    std::atomic<int> copies_before_last = 0;
    /// Called with the copy's number.
    std::function<void(int)> on_running_copy;
    std::atomic<int> copies = 0;
    bool crashes_after_copy = false;

    asio::awaitable<void> operator()(http::exchange& exchange)
    {
        const http::request& request = exchange.received();
        if (request.target == "/api/kv-move") {
            co_await copy(exchange);
            co_return;
        }
        if (request.target.starts_with("/api/"))
            co_return;
        co_await stream(exchange);
    }

    asio::awaitable<void> copy(http::exchange& exchange)
    {
        const bool is_last =
            exchange.received().body.text().find("last") != std::string::npos;
        if (crashes_after_copy && stopped) {
            exchange.cut();
            co_return;
        }
        if (!is_last) {
            const int number = ++copies_before_last;
            if (on_running_copy)
                on_running_copy(number);
            if (number <= slow_copies)
                co_await sleep(exchange, slow_copy_ms);
        }
        const bool is_refused = copies++ < refused_copies;
        if (is_refused) {
            http::response refused =
                fake_server::signed_response(exchange, 503, "{}");
            [[maybe_unused]] const auto written =
                co_await exchange.respond(std::move(refused));
            co_return;
        }
        stopped = stopped || is_last || crashes_after_copy;
        http::response done = fake_server::signed_response(
            exchange, is_last ? last_copy_status : 200, R"({"handle":"c7"})");
        [[maybe_unused]] const auto written =
            co_await exchange.respond(std::move(done));
    }

    asio::awaitable<void> stream(http::exchange& exchange)
    {
        const auto& fields = exchange.received().fields;
        const bool resumes = fields.find("Kv-From").has_value();
        const auto last = fields.find("Last-Event-Id");
        int id = last ? std::stoi(std::string(*last)) : 0;
        http::response head = fake_server::signed_response(exchange, 200, "");
        [[maybe_unused]] auto written =
            co_await exchange.start_stream(200, head.fields);
        const int end = resumes ? id + 5 : events;
        while (id < end) {
            if (stopped && !resumes)
                co_return; // Without finishing the stream.
            ++id;
            written = co_await exchange.write_chunk(event(id));
            sent = id;
            co_await sleep(exchange, 3);
        }
        written = co_await exchange.finish_stream();
    }
};

// Guards against losing or duplicating events of a stream that migrates between
// fake servers.
class migration_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(migration_test);
    CPPUNIT_TEST(test_a_stream_migrates_when_its_server_drains);
    CPPUNIT_TEST(test_a_run_stops_only_for_a_short_copy);
    CPPUNIT_TEST(test_arriving_tokens_are_counted_during_the_first_copy);
    CPPUNIT_TEST(
        test_a_stopped_run_resumes_at_its_source_without_capacity_elsewhere);
    CPPUNIT_TEST(test_a_run_resumes_from_its_copy_after_its_source_crashes);
    CPPUNIT_TEST(test_a_run_that_may_still_be_active_is_not_resumed_elsewhere);
    CPPUNIT_TEST(test_a_stream_returns_to_its_home_zone_when_there_is_capacity);
    CPPUNIT_TEST(test_a_returning_stream_survives_the_draining_of_its_server);
    CPPUNIT_TEST(test_a_return_continues_as_migration_when_the_server_drains);
    CPPUNIT_TEST(test_a_stream_stays_when_its_home_zone_refuses_it);
    CPPUNIT_TEST(test_a_run_does_not_migrate_to_a_server_that_leaves);
    CPPUNIT_TEST(test_a_run_does_not_migrate_into_an_evacuated_zone);
    CPPUNIT_TEST(test_a_stopped_run_does_not_resume_in_an_evacuated_zone);
    CPPUNIT_TEST(test_a_run_leaves_a_region_that_is_withdrawn);
    CPPUNIT_TEST(test_a_migration_outlives_its_caller_and_its_table);
    CPPUNIT_TEST(test_a_run_does_not_migrate_to_a_region_that_is_not_allowed);
    CPPUNIT_TEST(test_a_draining_server_is_detected_during_a_store_outage);
    CPPUNIT_TEST(test_a_draining_server_is_detected_before_its_record);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;

    static std::string events_until(int last)
    {
        std::string all;
        for (int id = 1; id <= last; ++id)
            all += event(id);
        return all;
    }

    void migrate_while_streaming(
        migrating_server& source, migrating_server& destination)
    {
        testbed_.first_server().set_handler(
            [&source](http::exchange& exchange) -> asio::awaitable<void> {
                co_await source(exchange);
            });
        testbed_.second_server().set_handler(
            [&destination](http::exchange& exchange) -> asio::awaitable<void> {
                co_await destination(exchange);
            });
        testbed_.publish(1);
        testbed_.register_server(testbed_.first_server(), "ready");
        testbed::wait_until(
            "readiness", [this] { return testbed_.is_ready(); });
        std::optional<http::response> response;
        std::thread caller(
            [this, &response] { response = testbed_.try_stream(); });
        testbed::wait_until("events", [&source] { return source.sent > 3; });
        testbed_.register_server(testbed_.second_server(), "ready");
        if (source_drains_later_)
            testbed::wait_until(
                "a copy", [&source] { return source.copies_before_last > 0; });
        if (destination_leaves_zone_) {
            testbed_.second_server().set_zone("south");
            testbed_.register_server(testbed_.second_server(), "ready");
        }
        if (!regions_then_.empty())
            testbed_.store().put(
                "keyed.op", "config", table_with_regions(2, regions_then_));
        if (source_drains_ || source_drains_later_)
            testbed_.register_server(testbed_.first_server(), "draining");
        caller.join();
        is_interrupted_ = !response;
        CPPUNIT_ASSERT_EQUAL(expects_interruption_, is_interrupted_);
        response_ = response.value_or(http::response());
    }

    /// Returns the table whose organisation has these allowed regions.
    static std::string
    table_with_regions(unsigned version, const std::string& regions)
    {
        const std::string organisation = R"("name":"north")";
        std::string table = table_text(version);
        return table.replace(
            table.find(organisation),
            organisation.size(),
            organisation + R"(,"allowed_regions":)" + regions);
    }

    http::response response_;
    /// The organisation's allowed regions after the stream started.
    std::string regions_then_;
    bool source_drains_ = true;
    bool source_drains_later_ = false;
    bool destination_leaves_zone_ =
        false; ///< The destination moves to another zone.
    bool expects_interruption_ = false;
    bool is_interrupted_ = false;

    void test_a_stream_migrates_when_its_server_drains()
    {
        migrating_server source;
        migrating_server destination;
        migrate_while_streaming(source, destination);
        CPPUNIT_ASSERT_EQUAL(200U, response_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(destination.sent), response_.body);
        CPPUNIT_ASSERT_EQUAL(
            testbed_.first_server().address() + "/c7", resumed_from());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.first_server().count("/stream/"));
    }

    // The first copies are slow; a run that stopped for one of them would pause
    // for as long.
    void test_a_run_stops_only_for_a_short_copy()
    {
        migrating_server source;
        migrating_server destination;
        source.slow_copies = 2;
        migrate_while_streaming(source, destination);
        CPPUNIT_ASSERT_EQUAL(200U, response_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(destination.sent), response_.body);
        CPPUNIT_ASSERT_EQUAL(3, source.copies_before_last.load());
    }

    // Other hosts choose servers by this count: a link is free again once most
    // of the KV cache has arrived.
    void test_arriving_tokens_are_counted_during_the_first_copy()
    {
        migrating_server source;
        migrating_server destination;
        source.slow_copies = 2;
        std::map<int, std::uint64_t> arriving;
        source.on_running_copy = [this, &arriving](int number) {
            arriving[number] =
                testbed_.arriving_tokens_at(testbed_.second_server());
        };
        migrate_while_streaming(source, destination);
        CPPUNIT_ASSERT(arriving[1] > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, arriving[2]);
    }

    void test_a_stopped_run_resumes_at_its_source_without_capacity_elsewhere()
    {
        migrating_server source;
        migrating_server destination;
        source.last_copy_status = 503;
        migrate_while_streaming(source, destination);
        CPPUNIT_ASSERT_EQUAL(200U, response_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(source.sent), response_.body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2}, testbed_.first_server().count("/stream/"));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
    }

    /// Returns the copy from which the second server's only run resumed.
    std::string resumed_from()
    {
        std::string copy_source;
        for (const http::request& one : testbed_.second_server().received()) {
            if (one.target != "/stream/")
                continue;
            CPPUNIT_ASSERT(copy_source.empty());
            copy_source = one.fields.find("Kv-From").value_or("nothing");
        }
        return copy_source;
    }

    // The source crashes after the first copy, before the last one.
    void test_a_run_resumes_from_its_copy_after_its_source_crashes()
    {
        migrating_server source;
        migrating_server destination;
        source.crashes_after_copy = true;
        migrate_while_streaming(source, destination);
        CPPUNIT_ASSERT_EQUAL(200U, response_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(destination.sent), response_.body);
        CPPUNIT_ASSERT_EQUAL(
            testbed_.first_server().address() + "/c7", resumed_from());
    }

    // The stream was interrupted, and the source responds, but does not tell
    // whether the run has ended: it may still be running.
    void test_a_run_that_may_still_be_active_is_not_resumed_elsewhere()
    {
        migrating_server source;
        migrating_server destination;
        source.last_copy_status = 500;
        expects_interruption_ = true;
        migrate_while_streaming(source, destination);
        CPPUNIT_ASSERT(is_interrupted_);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
    }

    /// Runs a long stream that starts in another zone because its host's zone
    /// has no server; then `destination` registers in the host's zone.
    void
    return_to_home_zone(migrating_server& source, migrating_server& destination)
    {
        testbed_.set_token_usage("100,4000");
        testbed_.first_server().set_zone("west");
        source_drains_ = false;
        migrate_while_streaming(source, destination);
    }

    void test_a_stream_returns_to_its_home_zone_when_there_is_capacity()
    {
        migrating_server source;
        migrating_server destination;
        return_to_home_zone(source, destination);
        CPPUNIT_ASSERT_EQUAL(200U, response_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(destination.sent), response_.body);
        CPPUNIT_ASSERT_EQUAL(
            testbed_.first_server().address() + "/c7", resumed_from());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.first_server().count("/stream/"));
    }

    // The destination leaves while the first copy is on its way there. The run
    // stays where it is, as there is no other server.
    void test_a_run_does_not_migrate_to_a_server_that_leaves()
    {
        migrating_server source;
        migrating_server destination;
        source.slow_copies = 1;
        source.slow_copy_ms = 1000;
        source.on_running_copy = [this](int number) {
            fake_server& leaving = testbed_.second_server();
            if (number == 1)
                testbed_.store().put(
                    "keyed.servers",
                    leaving.id(),
                    leaving.record("draining", 100));
        };
        migrate_while_streaming(source, destination);
        CPPUNIT_ASSERT_EQUAL(200U, response_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(source.sent), response_.body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
    }

    // The copies are refused until the source is known to drain.
    void test_a_returning_stream_survives_the_draining_of_its_server()
    {
        migrating_server source;
        migrating_server destination;
        source.refused_copies = 2;
        source_drains_later_ = true;
        return_to_home_zone(source, destination);
        CPPUNIT_ASSERT_EQUAL(200U, response_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(destination.sent), response_.body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.first_server().count("/stream/"));
    }

    // The source starts to drain during the first copy, which is then refused
    // for want of capacity. The return was optional; the migration is not.
    void test_a_return_continues_as_migration_when_the_server_drains()
    {
        migrating_server source;
        migrating_server destination;
        source.slow_copies = 1;
        source.slow_copy_ms = 600;
        source.refused_copies = 1;
        source_drains_later_ = true;
        destination_leaves_zone_ = true;
        return_to_home_zone(source, destination);
        CPPUNIT_ASSERT_EQUAL(200U, response_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(destination.sent), response_.body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.second_server().count("/stream/"));
    }

    void test_a_stream_stays_when_its_home_zone_refuses_it()
    {
        migrating_server source;
        migrating_server destination;
        source.refused_copies = 1000;
        source.events = 400;
        return_to_home_zone(source, destination);
        CPPUNIT_ASSERT_EQUAL(200U, response_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(400), response_.body);
        CPPUNIT_ASSERT(source.copies > 1);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
    }

    // The zone is evacuated during the first copy.
    void test_a_run_does_not_migrate_into_an_evacuated_zone()
    {
        migrating_server source;
        migrating_server destination;
        testbed_.second_server().set_zone("west");
        source.events = 400;
        source.slow_copies = 1;
        source.slow_copy_ms = 300;
        source.on_running_copy = [this](int /*number*/) {
            testbed_.store().put("keyed.op", "evacuate/west", "{}");
        };
        migrate_while_streaming(source, destination);
        CPPUNIT_ASSERT_EQUAL(200U, response_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(400), response_.body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
    }

    // The source's zone is evacuated for longer than a stopped run may resume
    // there, and the destination has no room for the last copy.
    void test_a_stopped_run_does_not_resume_in_an_evacuated_zone()
    {
        migrating_server source;
        migrating_server destination;
        testbed_.second_server().set_zone("west");
        source.last_copy_status = 503;
        source.slow_copies = 1;
        source.slow_copy_ms = 1200;
        source.on_running_copy = [this](int number) {
            if (number == 1)
                testbed_.store().put("keyed.op", "evacuate/east", "{}");
        };
        migrate_while_streaming(source, destination);
        CPPUNIT_ASSERT_EQUAL(200U, response_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(destination.sent), response_.body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.first_server().count("/stream/"));
        CPPUNIT_ASSERT_EQUAL(
            testbed_.first_server().address() + "/c7", resumed_from());
    }

    void test_a_run_leaves_a_region_that_is_withdrawn()
    {
        migrating_server source;
        migrating_server destination;
        source_drains_ = false;
        regions_then_ = R"(["far"])";
        testbed_.second_server().set_zone("west");
        migrate_while_streaming(source, destination);
        CPPUNIT_ASSERT_EQUAL(events_until(destination.sent), response_.body);
        CPPUNIT_ASSERT_EQUAL(
            testbed_.first_server().address() + "/c7", resumed_from());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.first_server().count("/stream/"));
    }

    // The migration uses its call after the caller's exchange has ended.
    void test_a_migration_outlives_its_caller_and_its_table()
    {
        constexpr int caller_patience_ms = 300;
        migrating_server source;
        source.slow_copies = 1;
        source.slow_copy_ms = 2 * caller_patience_ms;
        testbed_.first_server().set_handler(
            [&source](http::exchange& exchange) -> asio::awaitable<void> {
                co_await source(exchange);
            });
        testbed_.start_with_first_server();
        std::thread caller([this] {
            testbed_.call_and_disconnect("/stream/", caller_patience_ms);
        });
        testbed::wait_until("events", [&source] { return source.sent > 3; });
        testbed_.register_server(testbed_.second_server(), "ready");
        testbed_.register_server(testbed_.first_server(), "draining");
        testbed::wait_until(
            "a copy", [&source] { return source.copies_before_last > 0; });
        testbed_.publish(2);
        caller.join();
        std::this_thread::sleep_for(
            std::chrono::milliseconds(2 * source.slow_copy_ms));
        CPPUNIT_ASSERT(testbed_.is_ready());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, testbed_.table_version());
    }

    // The answer ends at the draining server rather than in another region.
    void test_a_run_does_not_migrate_to_a_region_that_is_not_allowed()
    {
        migrating_server source;
        migrating_server destination;
        source.events = 200;
        regions_then_ = R"(["near"])";
        testbed_.second_server().set_zone("west");
        migrate_while_streaming(source, destination);
        CPPUNIT_ASSERT_EQUAL(events_until(source.events), response_.body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
        CPPUNIT_ASSERT_EQUAL(0, source.copies_before_last.load());
    }

    void test_a_draining_server_is_detected_during_a_store_outage()
    {
        drain_without_record(true);
    }

    // The store responds, but without the server's new state.
    void test_a_draining_server_is_detected_before_its_record()
    {
        drain_without_record(false);
    }

    void drain_without_record(bool is_store_unavailable)
    {
        migrating_server source;
        migrating_server destination;
        std::atomic<bool> is_draining = false;
        testbed_.first_server().set_handler(
            [&](http::exchange& exchange) -> asio::awaitable<void> {
                if (exchange.received().target != "/api/report") {
                    co_await source(exchange);
                    co_return;
                }
                http::response report = fake_server::signed_response(
                    exchange,
                    200,
                    is_draining ? R"({"state":"draining"})"
                                : R"({"state":"ready"})");
                [[maybe_unused]] const auto written =
                    co_await exchange.respond(std::move(report));
            });
        testbed_.second_server().set_handler(
            [&destination](http::exchange& exchange) -> asio::awaitable<void> {
                co_await destination(exchange);
            });
        testbed_.publish(1);
        testbed_.register_server(testbed_.first_server(), "ready");
        testbed::wait_until(
            "readiness", [this] { return testbed_.is_ready(); });
        http::response response;
        std::thread caller([this, &response] {
            response = testbed_.call("POST", "/stream/");
        });
        testbed::wait_until("events", [&source] { return source.sent > 3; });
        testbed_.register_server(testbed_.second_server(), "ready");
        if (is_store_unavailable)
            testbed_.store().set_status(503);
        is_draining = true;
        caller.join();
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
        CPPUNIT_ASSERT_EQUAL(events_until(destination.sent), response.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(migration_test);

} // namespace
