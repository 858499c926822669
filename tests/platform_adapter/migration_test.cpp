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

/// A server that streams events until a last copy stops it, and goes on
/// after the event that a continuation names.
struct moving_server
{
    std::atomic<bool> stopped = false;
    std::atomic<int> sent = 0;
    unsigned last_copy_status = 200;
    int refused_copies = 0; ///< For want of room at the destination.
    int slow_copy_ms = 150;
    int slow_copies = 0; ///< The first so many take slow_copy_ms.
    int events = 1000;
    std::atomic<int> copies_before_last = 0;
    std::function<void(int)> on_running_copy; ///< With its number.
    std::atomic<int> copies = 0;
    bool dies_after_copy = false;

    asio::awaitable<void> operator()(http::exchange& asked)
    {
        const http::request& request = asked.received();
        if (request.target == "/api/kv-move") {
            co_await copy(asked);
            co_return;
        }
        if (request.target.starts_with("/api/"))
            co_return;
        co_await stream(asked);
    }

    asio::awaitable<void> copy(http::exchange& asked)
    {
        const bool is_last =
            asked.received().body.find("last") != std::string::npos;
        if (dies_after_copy && stopped) {
            asked.cut();
            co_return;
        }
        if (!is_last) {
            const int number = ++copies_before_last;
            if (on_running_copy)
                on_running_copy(number);
            if (number <= slow_copies)
                co_await sleep(asked, slow_copy_ms);
        }
        const bool is_refused = copies++ < refused_copies;
        if (is_refused) {
            http::response refused =
                fake_server::signed_response(asked, 503, "{}");
            [[maybe_unused]] const auto told =
                co_await asked.respond(std::move(refused));
            co_return;
        }
        stopped = stopped || is_last || dies_after_copy;
        http::response done = fake_server::signed_response(
            asked, is_last ? last_copy_status : 200, R"({"handle":"c7"})");
        [[maybe_unused]] const auto said =
            co_await asked.respond(std::move(done));
    }

    asio::awaitable<void> stream(http::exchange& asked)
    {
        const auto& fields = asked.received().fields;
        const bool resumes = fields.find("Kv-From").has_value();
        const auto last = fields.find("Last-Event-Id");
        int id = last ? std::stoi(std::string(*last)) : 0;
        http::response head = fake_server::signed_response(asked, 200, "");
        [[maybe_unused]] auto said =
            co_await asked.start_stream(200, head.fields);
        const int end = resumes ? id + 5 : events;
        while (id < end) {
            if (stopped && !resumes)
                co_return; // Without its end.
            ++id;
            said = co_await asked.write_chunk(event(id));
            sent = id;
            co_await sleep(asked, 3);
        }
        said = co_await asked.finish_stream();
    }
};

// A stream goes on at another server, whose answers are those of a stand-in.
class moves_world_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(moves_world_test);
    CPPUNIT_TEST(test_a_stream_goes_on_where_its_server_leaves);
    CPPUNIT_TEST(test_a_run_stops_only_for_a_short_copy);
    CPPUNIT_TEST(test_memory_is_on_its_way_during_the_first_copy);
    CPPUNIT_TEST(test_a_stopped_run_goes_on_at_home_when_nobody_has_room);
    CPPUNIT_TEST(test_a_run_whose_source_dies_goes_on_from_its_copy);
    CPPUNIT_TEST(test_a_run_that_may_live_on_is_not_begun_elsewhere);
    CPPUNIT_TEST(test_a_stream_comes_home_when_there_is_room);
    CPPUNIT_TEST(test_a_stream_on_its_way_home_outlives_its_server);
    CPPUNIT_TEST(test_a_way_home_goes_on_when_the_server_leaves_meanwhile);
    CPPUNIT_TEST(test_a_stream_stays_away_when_home_refuses_it);
    CPPUNIT_TEST(test_a_leaving_server_is_seen_while_the_store_is_away);
    CPPUNIT_TEST(test_a_leaving_server_is_seen_while_its_list_is_held_up);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;

    static std::string events_until(int last)
    {
        std::string all;
        for (int id = 1; id <= last; ++id)
            all += event(id);
        return all;
    }

    void move_while_streaming(moving_server& at_first, moving_server& at_second)
    {
        testbed_.first_server().set_handler(
            [&at_first](http::exchange& asked) -> asio::awaitable<void> {
                co_await at_first(asked);
            });
        testbed_.second_server().set_handler(
            [&at_second](http::exchange& asked) -> asio::awaitable<void> {
                co_await at_second(asked);
            });
        testbed_.publish(1);
        testbed_.register_server(testbed_.first_server(), "ready");
        testbed::wait_until(
            "readiness", [this] { return testbed_.is_ready(); });
        std::optional<http::response> answer;
        std::thread caller([this, &answer] { answer = testbed_.try_stream(); });
        testbed::wait_until(
            "events", [&at_first] { return at_first.sent > 3; });
        testbed_.register_server(testbed_.second_server(), "ready");
        if (leaves_later_)
            testbed::wait_until("a copy", [&at_first] {
                return at_first.copies_before_last > 0;
            });
        if (has_other_home_) {
            testbed_.second_server().set_zone("south");
            testbed_.register_server(testbed_.second_server(), "ready");
        }
        if (leaves_source_ || leaves_later_)
            testbed_.register_server(testbed_.first_server(), "draining");
        caller.join();
        is_cut_ = !answer;
        CPPUNIT_ASSERT_EQUAL(expects_cut_, is_cut_);
        answer_ = answer.value_or(http::response());
    }

    http::response answer_;
    bool leaves_source_ = true;
    bool leaves_later_ = false;
    bool has_other_home_ = false; ///< The destination is not at home any more.
    bool expects_cut_ = false;
    bool is_cut_ = false;

    void test_a_stream_goes_on_where_its_server_leaves()
    {
        moving_server at_first;
        moving_server at_second;
        move_while_streaming(at_first, at_second);
        CPPUNIT_ASSERT_EQUAL(200U, answer_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(at_second.sent), answer_.body);
        CPPUNIT_ASSERT_EQUAL(
            testbed_.first_server().address() + "/c7", resumed_from());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.first_server().count("/stream/"));
    }

    // The first copies take long; a run that stopped for such a one would
    // pause as long.
    void test_a_run_stops_only_for_a_short_copy()
    {
        moving_server at_first;
        moving_server at_second;
        at_first.slow_copies = 2;
        move_while_streaming(at_first, at_second);
        CPPUNIT_ASSERT_EQUAL(200U, answer_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(at_second.sent), answer_.body);
        CPPUNIT_ASSERT_EQUAL(3, at_first.copies_before_last.load());
    }

    // Other hosts choose by it: a link is free again when most is there.
    void test_memory_is_on_its_way_during_the_first_copy()
    {
        moving_server at_first;
        moving_server at_second;
        at_first.slow_copies = 2;
        std::map<int, std::uint64_t> arriving;
        at_first.on_running_copy = [this, &arriving](int number) {
            arriving[number] =
                testbed_.arriving_tokens_at(testbed_.second_server());
        };
        move_while_streaming(at_first, at_second);
        CPPUNIT_ASSERT(arriving[1] > 0);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, arriving[2]);
    }

    void test_a_stopped_run_goes_on_at_home_when_nobody_has_room()
    {
        moving_server at_first;
        moving_server at_second;
        at_first.last_copy_status = 503;
        move_while_streaming(at_first, at_second);
        CPPUNIT_ASSERT_EQUAL(200U, answer_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(at_first.sent), answer_.body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{2}, testbed_.first_server().count("/stream/"));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
    }

    /// Whose copy the second server's only run went on from.
    std::string resumed_from()
    {
        std::string source;
        for (const http::request& one : testbed_.second_server().received()) {
            if (one.target != "/stream/")
                continue;
            CPPUNIT_ASSERT(source.empty());
            source = one.fields.find("Kv-From").value_or("nothing");
        }
        return source;
    }

    // The source copies once and dies before the last copy.
    void test_a_run_whose_source_dies_goes_on_from_its_copy()
    {
        moving_server at_first;
        moving_server at_second;
        at_first.dies_after_copy = true;
        move_while_streaming(at_first, at_second);
        CPPUNIT_ASSERT_EQUAL(200U, answer_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(at_second.sent), answer_.body);
        CPPUNIT_ASSERT_EQUAL(
            testbed_.first_server().address() + "/c7", resumed_from());
    }

    // The stream broke, and the source answers, but not whether the run is
    // gone: it may still be at work.
    void test_a_run_that_may_live_on_is_not_begun_elsewhere()
    {
        moving_server at_first;
        moving_server at_second;
        at_first.last_copy_status = 500;
        expects_cut_ = true;
        move_while_streaming(at_first, at_second);
        CPPUNIT_ASSERT(is_cut_);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
    }

    /// A long stream that begins in another zone, since no server of its
    /// host's zone is there; then `at_second` appears in it.
    void come_home(moving_server& at_first, moving_server& at_second)
    {
        testbed_.set_token_usage("100,4000");
        testbed_.first_server().set_zone("west");
        leaves_source_ = false;
        move_while_streaming(at_first, at_second);
    }

    void test_a_stream_comes_home_when_there_is_room()
    {
        moving_server at_first;
        moving_server at_second;
        come_home(at_first, at_second);
        CPPUNIT_ASSERT_EQUAL(200U, answer_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(at_second.sent), answer_.body);
        CPPUNIT_ASSERT_EQUAL(
            testbed_.first_server().address() + "/c7", resumed_from());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.first_server().count("/stream/"));
    }

    // The copies are refused until the source is seen to leave.
    void test_a_stream_on_its_way_home_outlives_its_server()
    {
        moving_server at_first;
        moving_server at_second;
        at_first.refused_copies = 2;
        leaves_later_ = true;
        come_home(at_first, at_second);
        CPPUNIT_ASSERT_EQUAL(200U, answer_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(at_second.sent), answer_.body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.first_server().count("/stream/"));
    }

    // The server leaves while the first copy is on its way, and that copy
    // finds no room: there was no need to move, and now there is.
    void test_a_way_home_goes_on_when_the_server_leaves_meanwhile()
    {
        moving_server at_first;
        moving_server at_second;
        at_first.slow_copies = 1;
        at_first.slow_copy_ms = 600;
        at_first.refused_copies = 1;
        leaves_later_ = true;
        has_other_home_ = true;
        come_home(at_first, at_second);
        CPPUNIT_ASSERT_EQUAL(200U, answer_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(at_second.sent), answer_.body);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, testbed_.second_server().count("/stream/"));
    }

    void test_a_stream_stays_away_when_home_refuses_it()
    {
        moving_server at_first;
        moving_server at_second;
        at_first.refused_copies = 1000;
        at_first.events = 400;
        come_home(at_first, at_second);
        CPPUNIT_ASSERT_EQUAL(200U, answer_.status);
        CPPUNIT_ASSERT_EQUAL(events_until(400), answer_.body);
        CPPUNIT_ASSERT(at_first.copies > 1);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_.second_server().count("/stream/"));
    }

    void test_a_leaving_server_is_seen_while_the_store_is_away()
    {
        leave_unlisted(true);
    }

    // The store answers, but brings no news.
    void test_a_leaving_server_is_seen_while_its_list_is_held_up()
    {
        leave_unlisted(false);
    }

    void leave_unlisted(bool store_away)
    {
        moving_server at_first;
        moving_server at_second;
        std::atomic<bool> leaves = false;
        testbed_.first_server().set_handler(
            [&](http::exchange& asked) -> asio::awaitable<void> {
                if (asked.received().target != "/api/report") {
                    co_await at_first(asked);
                    co_return;
                }
                http::response report = fake_server::signed_response(
                    asked,
                    200,
                    leaves ? R"({"state":"draining"})"
                           : R"({"state":"ready"})");
                [[maybe_unused]] const auto said =
                    co_await asked.respond(std::move(report));
            });
        testbed_.second_server().set_handler(
            [&at_second](http::exchange& asked) -> asio::awaitable<void> {
                co_await at_second(asked);
            });
        testbed_.publish(1);
        testbed_.register_server(testbed_.first_server(), "ready");
        testbed::wait_until(
            "readiness", [this] { return testbed_.is_ready(); });
        http::response answer;
        std::thread caller(
            [this, &answer] { answer = testbed_.call("POST", "/stream/"); });
        testbed::wait_until(
            "events", [&at_first] { return at_first.sent > 3; });
        testbed_.register_server(testbed_.second_server(), "ready");
        if (store_away)
            testbed_.store().set_status(503);
        leaves = true;
        caller.join();
        CPPUNIT_ASSERT_EQUAL(200U, answer.status);
        CPPUNIT_ASSERT_EQUAL(events_until(at_second.sent), answer.body);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(moves_world_test);

} // namespace
