// Guards against a follower that stops: if an exception from parsing a response
// or from a handler ended it, the host would keep serving with outdated servers
// and routes. Also guards against excessive calls to the store.

#include "fake_store.hpp"

#include <godwit/platform_adapter/topic_follower.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <exception>
#include <functional>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter;

class topic_follower_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(topic_follower_test);
    CPPUNIT_TEST(test_an_exception_does_not_stop_the_follower);
    CPPUNIT_TEST(test_it_pauses_while_the_topic_is_relayed);
    CPPUNIT_TEST(test_it_resyncs_only_if_the_topic_is_not_relayed);
    CPPUNIT_TEST(test_retries_back_off_while_calls_are_rejected);
    CPPUNIT_TEST(test_it_does_not_read_again_what_was_relayed);
    CPPUNIT_TEST(test_a_relayed_position_that_the_store_lost_is_not_used);
    CPPUNIT_TEST(test_a_resync_reads_what_was_relayed);
    CPPUNIT_TEST(test_a_read_whose_response_may_be_lost_is_repeated);
    CPPUNIT_TEST(test_a_read_that_is_longer_than_allowed_now_is_repeated);
    CPPUNIT_TEST(test_a_read_that_missed_a_relayed_change_is_repeated);
    CPPUNIT_TEST(test_an_open_read_is_left_alone);
    CPPUNIT_TEST(test_a_pause_after_failures_ends_when_the_store_responds);
    CPPUNIT_TEST(test_a_call_that_is_one_too_many_shows_no_recovery);
    CPPUNIT_TEST_SUITE_END();

    static void fail_once(bool& has_failed)
    {
        if (!std::exchange(has_failed, true))
            throw std::runtime_error("a fault of whoever takes the records");
    }

    void test_an_exception_does_not_stop_the_follower()
    {
        boost::asio::io_context io{1};
        test::fake_store store(io);
        store.put("t", "first", "1");
        store_client client(io.get_executor(), store.address());
        std::set<std::string> seen;
        bool has_failed_on_snapshot = false;
        bool has_failed_on_record = false;
        topic_follower follower(
            io.get_executor(),
            client,
            "t",
            {},
            {[&](const std::vector<keyed_record>& records) {
                 fail_once(has_failed_on_snapshot);
                 for (const keyed_record& record : records)
                     seen.insert(record.key);
             },
             [&](const keyed_record& record) {
                 fail_once(has_failed_on_record);
                 seen.insert(record.key);
             },
             {}});
        follower.start();
        const auto run_until_seen = [&](const std::string& key) {
            const auto end =
                std::chrono::steady_clock::now() + std::chrono::seconds(10);
            while (!seen.contains(key) &&
                   std::chrono::steady_clock::now() < end)
                io.run_one_for(std::chrono::milliseconds(100));
            return seen.contains(key);
        };
        CPPUNIT_ASSERT(run_until_seen("first"));
        // Both arrive in one response; handling the first of them fails.
        store.put("t", "second", "2");
        store.put("t", "third", "3");
        CPPUNIT_ASSERT(run_until_seen("second"));
        CPPUNIT_ASSERT(run_until_seen("third"));
        CPPUNIT_ASSERT(has_failed_on_snapshot && has_failed_on_record);
    }

    /// A follower of a topic with the records "first" and "second", the first
    /// of which was relayed.
    struct relayed_topic
    {
        boost::asio::io_context io{1};
        test::fake_store store{io};
        store_client client{io.get_executor(), store.address()};
        std::multiset<std::string> seen;
        std::optional<store_position> position;
        std::optional<topic_follower> follower;

        relayed_topic()
        {
            store.put("t", "first", "1");
            store.put("t", "second", "2");
            topic_poll_policy policy;
            policy.relayed_position = [] {
                return store_position{0, 1};
            };
            topic_handlers handlers;
            handlers.on_snapshot =
                [this](const std::vector<keyed_record>& records) {
                    for (const keyed_record& record : records)
                        seen.insert(record.key);
                };
            handlers.on_record = [this](const keyed_record& record) {
                seen.insert(record.key);
            };
            handlers.on_position = [this](const store_position& read) {
                position = read;
            };
            follower.emplace(io.get_executor(), client, "t", policy, handlers);
        }
    };

    void test_it_does_not_read_again_what_was_relayed()
    {
        relayed_topic topic;
        topic.store.set_epoch(std::nullopt);
        topic.follower->start_unless_relayed();
        run_for(topic.io, 300);
        CPPUNIT_ASSERT(topic.seen == std::multiset<std::string>{"second"});
        CPPUNIT_ASSERT(topic.position == (store_position{0, 2}));
    }

    void test_a_relayed_position_that_the_store_lost_is_not_used()
    {
        relayed_topic topic;
        topic.store.set_epoch(std::nullopt);
        topic.store.compact();
        topic.follower->start_unless_relayed();
        run_for(topic.io, 600);
        CPPUNIT_ASSERT(
            (topic.seen == std::multiset<std::string>{"first", "second"}));
    }

    // What was relayed before a suspension may be outdated.
    void test_a_resync_reads_what_was_relayed()
    {
        relayed_topic topic;
        topic.store.set_epoch(std::nullopt);
        topic.follower->resync();
        run_for(topic.io, 300);
        CPPUNIT_ASSERT(
            (topic.seen == std::multiset<std::string>{"first", "second"}));
    }

    static void run_for(boost::asio::io_context& io, int milliseconds)
    {
        const auto end = std::chrono::steady_clock::now() +
                         std::chrono::milliseconds(milliseconds);
        while (std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds(20));
    }

    // In a large fleet one host of a cell reads. If the others read as well,
    // each change would cost as many calls as there are hosts.
    void test_it_pauses_while_the_topic_is_relayed()
    {
        boost::asio::io_context io{1};
        test::fake_store store(io);
        store.put("t", "first", "1");
        store_client client(io.get_executor(), store.address());
        bool is_relayed = true;
        unsigned reads = 0;
        std::set<std::string> seen;
        topic_poll_policy policy;
        policy.is_relayed = [&is_relayed] {
            return is_relayed;
        };
        policy.relayed_poll_interval = std::chrono::seconds(60);
        topic_handlers handlers;
        handlers.on_snapshot =
            [&seen](const std::vector<keyed_record>& records) {
                for (const keyed_record& record : records)
                    seen.insert(record.key);
            };
        handlers.on_record = [&seen](const keyed_record& record) {
            seen.insert(record.key);
        };
        handlers.on_read = [&reads] {
            ++reads;
        };
        topic_follower follower(
            io.get_executor(), client, "t", policy, handlers);
        follower.start();
        run_for(io, 500);
        // It reads the records that exist at the start itself.
        CPPUNIT_ASSERT(seen.contains("first"));
        store.put("t", "second", "2");
        run_for(io, 500);
        CPPUNIT_ASSERT(!seen.contains("second"));
        CPPUNIT_ASSERT_EQUAL(1U, reads);
        CPPUNIT_ASSERT_EQUAL(1U, store.calls());
        // The reader stops relaying.
        is_relayed = false;
        run_for(io, 500);
        CPPUNIT_ASSERT(seen.contains("second"));
    }

    // If each host of a large fleet resynced after a restore, it would cost as
    // many calls as there are hosts.
    void test_it_resyncs_only_if_the_topic_is_not_relayed()
    {
        boost::asio::io_context io{1};
        test::fake_store store(io);
        store_client client(io.get_executor(), store.address());
        bool is_relayed = true;
        unsigned reads = 0;
        topic_poll_policy policy;
        policy.is_relayed = [&is_relayed] {
            return is_relayed;
        };
        policy.relayed_poll_interval = std::chrono::seconds(60);
        topic_handlers handlers;
        handlers.on_snapshot = [](const std::vector<keyed_record>&) {
        };
        handlers.on_read = [&reads] {
            ++reads;
        };
        topic_follower follower(
            io.get_executor(), client, "t", policy, handlers);
        follower.start();
        run_for(io, 200);
        CPPUNIT_ASSERT_EQUAL(1U, reads);
        follower.resync_unless_relayed();
        run_for(io, 200);
        CPPUNIT_ASSERT_EQUAL(1U, reads);
        follower.resync();
        run_for(io, 200);
        CPPUNIT_ASSERT_EQUAL(2U, reads);
        is_relayed = false;
        run_for(io, 1500);
        CPPUNIT_ASSERT(reads > 2);
    }

    void test_retries_back_off_while_calls_are_rejected()
    {
        boost::asio::io_context io{1};
        test::fake_store store(io);
        store.set_status(503);
        store_client client(io.get_executor(), store.address());
        topic_poll_policy policy;
        policy.max_retry_delay = [] {
            return std::chrono::seconds(3);
        };
        unsigned reads = 0;
        topic_handlers handlers;
        handlers.on_snapshot = [](const std::vector<keyed_record>&) {
        };
        handlers.on_read = [&reads] {
            ++reads;
        };
        topic_follower follower(
            io.get_executor(), client, "t", policy, handlers);
        follower.start();
        // Delays of 0.2, 0.4, 0.8 and 1.6 s, then of 3 s.
        run_for(io, 4000);
        CPPUNIT_ASSERT(store.calls() <= 6);
        CPPUNIT_ASSERT_EQUAL(0U, reads);
        store.set_status(0);
        run_for(io, 3500);
        CPPUNIT_ASSERT(reads > 0);
    }

    /// A follower whose open read the store never answers, although the topic
    /// has a new record.
    struct silent_topic
    {
        boost::asio::io_context io{1};
        test::fake_store store{io};
        store_client client{io.get_executor(), store.address()};
        core::duration long_poll_timeout = std::chrono::seconds(10);
        std::set<std::string> seen;
        std::optional<topic_follower> follower;

        silent_topic()
        {
            store.put("t", "first", "1");
            topic_poll_policy policy;
            policy.long_poll_timeout = [this] {
                return long_poll_timeout;
            };
            policy.max_retry_delay = [] {
                return std::chrono::seconds(10);
            };
            topic_handlers handlers;
            handlers.on_snapshot =
                [this](const std::vector<keyed_record>& records) {
                    for (const keyed_record& record : records)
                        seen.insert(record.key);
                };
            handlers.on_record = [this](const keyed_record& record) {
                seen.insert(record.key);
            };
            follower.emplace(io.get_executor(), client, "t", policy, handlers);
            follower->start();
            run_until([this] { return seen.contains("first"); });
            run_for(std::chrono::milliseconds(100));
            store.drop_open_reads();
            store.put("t", "second", "2");
            run_for(std::chrono::milliseconds(100));
        }

        void run_for(std::chrono::milliseconds span)
        {
            const auto end = std::chrono::steady_clock::now() + span;
            while (std::chrono::steady_clock::now() < end)
                io.run_one_for(std::chrono::milliseconds(10));
        }

        bool run_until(const std::function<bool()>& condition)
        {
            const auto end =
                std::chrono::steady_clock::now() + std::chrono::seconds(5);
            while (!condition() && std::chrono::steady_clock::now() < end)
                io.run_one_for(std::chrono::milliseconds(10));
            return condition();
        }

        bool sees_second()
        {
            return run_until([this] { return seen.contains("second"); });
        }
    };

    void test_a_read_whose_response_may_be_lost_is_repeated()
    {
        silent_topic topic;
        topic.follower->handle_loss(core::monotonic_now());
        CPPUNIT_ASSERT(topic.sees_second());
    }

    void test_a_read_that_is_longer_than_allowed_now_is_repeated()
    {
        silent_topic topic;
        topic.long_poll_timeout = std::chrono::milliseconds(100);
        CPPUNIT_ASSERT(topic.run_until([&topic] {
            topic.follower->check_read();
            return topic.seen.contains("second");
        }));
    }

    void test_a_read_that_missed_a_relayed_change_is_repeated()
    {
        silent_topic topic;
        topic.follower->record_relayed_change();
        CPPUNIT_ASSERT(topic.run_until([&topic] {
            topic.follower->check_read();
            return topic.seen.contains("second");
        }));
    }

    // Each call to the store has a cost.
    void test_an_open_read_is_left_alone()
    {
        silent_topic topic;
        const auto began_before = core::monotonic_now();
        topic.follower->handle_loss(began_before);
        CPPUNIT_ASSERT(topic.sees_second());
        topic.run_for(std::chrono::milliseconds(200));
        const unsigned calls = topic.store.calls();
        topic.follower->handle_loss(began_before);
        topic.follower->check_read();
        topic.run_for(std::chrono::milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(calls, topic.store.calls());
    }

    void test_a_pause_after_failures_ends_when_the_store_responds()
    {
        silent_topic topic;
        topic.follower->handle_loss(core::monotonic_now());
        CPPUNIT_ASSERT(topic.sees_second());
        constexpr unsigned unavailable = 503;
        topic.store.set_status(unavailable);
        topic.store.put("t", "third", "3");
        topic.long_poll_timeout = std::chrono::milliseconds(100);
        topic.follower->handle_loss(core::monotonic_now());
        // The pauses are 0.2, 0.4, 0.8, 1.6 and 3.2 seconds.
        topic.run_for(std::chrono::milliseconds(3500));
        topic.store.set_status(0);
        const auto responds_at = std::chrono::steady_clock::now();
        topic.follower->handle_loss(core::monotonic_now());
        CPPUNIT_ASSERT(
            topic.run_until([&topic] { return topic.seen.contains("third"); }));
        CPPUNIT_ASSERT(
            std::chrono::steady_clock::now() - responds_at <
            std::chrono::seconds(1));
    }

    // Such a response would end the pauses of all followers, whose calls the
    // store rejects as well.
    void test_a_call_that_is_one_too_many_shows_no_recovery()
    {
        boost::asio::io_context io{1};
        test::fake_store store(io);
        store_client client(io.get_executor(), store.address());
        unsigned losses = 0;
        client.set_loss_handler([&losses](core::time_point) { ++losses; });
        const auto call_with_status = [&](unsigned status) {
            store.set_status(status);
            bool is_done = false;
            boost::asio::co_spawn(
                io,
                client.newest("t"),
                [&is_done](const std::exception_ptr&, const auto&) {
                    is_done = true;
                });
            while (!is_done)
                io.run_one();
            return losses;
        };
        constexpr unsigned unavailable = 503;
        constexpr unsigned too_many_requests = 429;
        CPPUNIT_ASSERT_EQUAL(0U, call_with_status(unavailable));
        CPPUNIT_ASSERT_EQUAL(0U, call_with_status(too_many_requests));
        CPPUNIT_ASSERT_EQUAL(0U, call_with_status(unavailable));
        CPPUNIT_ASSERT_EQUAL(1U, call_with_status(0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(topic_follower_test);

} // namespace
