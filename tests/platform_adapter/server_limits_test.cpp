// Guards against sending a backend server more requests than the limit in its
// answers.

#include "fake_neighbours.hpp"
#include "stream_pieces.hpp"
#include "world.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <thread>

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

    world world_;

    static std::optional<wire::message> no_table(const wire::pull& /*asked*/)
    {
        return std::nullopt;
    }

    // Starts with a second host in the fleet.
    void begin_with_neighbour()
    {
        world_.begin();
        world_.store().put("keyed.hosts", "n0", "127.0.0.1:1/east");
        world::wait("the other host", [this] {
            return world_.look<bool>([](entry::entry_process& process) {
                return process.fleet_size() == 2;
            });
        });
    }

    static fake_server::request_handler
    answer_with_limit(const std::string& limit, unsigned status = 200)
    {
        return [limit, status](http::exchange& asked) -> asio::awaitable<void> {
            http::response whole =
                fake_server::signed_response(asked, status, event(1));
            if (!limit.empty())
                whole.fields.set("Server-Limit", limit);
            [[maybe_unused]] const auto sent =
                co_await asked.respond(std::move(whole));
        };
    }

    bool is_limited(fake_server& server)
    {
        const placement::server_id id(server.id());
        return world_.look<bool>([&id](entry::entry_process& process) {
            return process.context().limits.is_limited(id);
        });
    }

    // Sends requests until the entry host knows the server's limit.
    void call_until_limited(fake_server& server)
    {
        world::wait("the limit", [this, &server] {
            [[maybe_unused]] const auto answer = world_.call("POST", "/plain/");
            return is_limited(server);
        });
    }

    // Sends requests one after the other; returns how many succeeded.
    std::size_t call_for(milliseconds span, const std::string& path)
    {
        std::size_t served = 0;
        const auto end = clock_type::now() + span;
        while (clock_type::now() < end) {
            const auto answer = world_.call("POST", path);
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
        world_.first().set_handler(answer_with_limit("2.0"));
        world_.begin();
        call_until_limited(world_.first());
        const std::size_t before = world_.first().count("/plain/");
        const std::size_t others = world_.second().count("/plain/");
        const std::size_t served = call_for(window, "/plain/");
        CPPUNIT_ASSERT(world_.first().count("/plain/") - before <= allowed);
        CPPUNIT_ASSERT(world_.first().count("/plain/") - before >= 4);
        CPPUNIT_ASSERT_EQUAL(
            served,
            world_.first().count("/plain/") - before +
                world_.second().count("/plain/") - others);
        CPPUNIT_ASSERT(served > 50);
    }

    // Both servers fail, so that requests are retried.
    void test_retries_count_towards_the_limit()
    {
        world_.first().set_handler(answer_with_limit("2.0", 500));
        world_.second().set_handler(answer_with_limit("", 500));
        world_.begin();
        call_until_limited(world_.first());
        const std::size_t before = world_.first().count("/again/");
        [[maybe_unused]] const std::size_t served = call_for(window, "/again/");
        CPPUNIT_ASSERT(world_.first().count("/again/") - before <= allowed);
    }

    void test_streams_count_towards_the_limit()
    {
        world_.first().set_handler(answer_with_limit("2.0"));
        world_.second().set_handler(answer_with_limit(""));
        world_.begin();
        call_until_limited(world_.first());
        const std::size_t before = world_.first().count("/stream/");
        [[maybe_unused]] const std::size_t served =
            call_for(window, "/stream/");
        CPPUNIT_ASSERT(world_.first().count("/stream/") - before <= allowed);
        CPPUNIT_ASSERT(world_.second().count("/stream/") > 0);
    }

    void test_requests_beyond_every_limit_are_refused_at_once()
    {
        world_.first().set_handler(answer_with_limit("1"));
        world_.second().set_handler(answer_with_limit("1"));
        world_.begin();
        world::wait("both limits", [this] {
            [[maybe_unused]] const auto answer = world_.call("POST", "/plain/");
            return is_limited(world_.first()) && is_limited(world_.second());
        });
        std::size_t refused = 0;
        for (int count = 0; count < 20; ++count) {
            const auto begun = clock_type::now();
            const auto answer = world_.call("POST", "/plain/");
            if (answer.status == 200)
                continue;
            ++refused;
            CPPUNIT_ASSERT(clock_type::now() - begun < milliseconds(1000));
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
        world_.first().set_handler(answer_with_limit("2.0"));
        begin_with_neighbour();
        fake_neighbours others(1, world_.neighbours(), &no_table);
        others.announce_table_version(1);
        call_until_limited(world_.first());
        // The limit for five seconds.
        others.broadcast(
            wire::server_limits{{{world_.first().id(), 0, true, 2.0, 0, 10}}});
        world::wait("the requests", [this] {
            return world_.look<bool>([this](entry::entry_process& process) {
                return process.context().limits.wait_time(
                           placement::server_id(world_.first().id()),
                           core::monotonic_now()) > std::chrono::seconds(3);
            });
        });
        const std::size_t before = world_.first().count("/plain/");
        CPPUNIT_ASSERT(call_for(milliseconds(2000), "/plain/") > 20);
        CPPUNIT_ASSERT_EQUAL(before, world_.first().count("/plain/"));
    }

    void test_neighbours_receive_limits_and_requests()
    {
        world_.first().set_handler(answer_with_limit("50"));
        begin_with_neighbour();
        fake_neighbours others(1, world_.neighbours(), &no_table);
        others.announce_table_version(1);
        call_until_limited(world_.first());
        world::wait("reported requests", [this, &others] {
            [[maybe_unused]] const auto answer = world_.call("POST", "/plain/");
            std::size_t sends = 0;
            for (const wire::server_limits& said : others.limits()) {
                for (const wire::server_limit& one : said.limits) {
                    CPPUNIT_ASSERT_EQUAL(world_.first().id(), one.server);
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
        world_.first().set_handler(answer_with_limit("4"));
        world_.second().set_handler(answer_with_limit("4"));
        world_.begin();
        world::wait("both limits", [this] {
            [[maybe_unused]] const auto answer = world_.call("POST", "/plain/");
            return is_limited(world_.first()) && is_limited(world_.second());
        });
        world_.first().set_handler(answer_with_limit(""));
        world_.second().set_handler(answer_with_limit(""));
        world::wait("the lifting of both limits", [this] {
            [[maybe_unused]] const auto answer = world_.call("POST", "/plain/");
            return !is_limited(world_.first()) && !is_limited(world_.second());
        });
        for (int count = 0; count < 40; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, world_.call("POST", "/plain/").status);
    }

    void test_a_restart_lifts_the_limit()
    {
        world_.first().set_handler(answer_with_limit("1"));
        world_.begin();
        world_.restart(world_.first());
        call_until_limited(world_.first());
        world_.first().set_handler(answer_with_limit(""));
        world_.restart(world_.first());
        CPPUNIT_ASSERT(!is_limited(world_.first()));
    }

    void test_invalid_limits_are_ignored()
    {
        world_.begin();
        for (const char* value :
             {"-1", "x", "1e99", "inf", "nan", "1,2", "", " ", "0x10"}) {
            world_.first().set_handler(
                [value](http::exchange& asked) -> asio::awaitable<void> {
                    http::response whole =
                        fake_server::signed_response(asked, 200, "hello");
                    whole.fields.add("Server-Limit", value);
                    [[maybe_unused]] const auto sent =
                        co_await asked.respond(std::move(whole));
                });
            for (int count = 0; count < 6; ++count)
                CPPUNIT_ASSERT_EQUAL(
                    200U, world_.call("POST", "/plain/").status);
            CPPUNIT_ASSERT(!is_limited(world_.first()));
        }
        // A repeated field is invalid.
        world_.first().set_handler(
            [](http::exchange& asked) -> asio::awaitable<void> {
                http::response whole =
                    fake_server::signed_response(asked, 200, "hello");
                whole.fields.add("Server-Limit", "1");
                whole.fields.add("Server-Limit", "2");
                [[maybe_unused]] const auto sent =
                    co_await asked.respond(std::move(whole));
            });
        for (int count = 0; count < 6; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, world_.call("POST", "/plain/").status);
        CPPUNIT_ASSERT(!is_limited(world_.first()));
        CPPUNIT_ASSERT(
            world_.ask_operators("/metrics")
                .body.find("godwit_refused_limits_total") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_limits_test);

} // namespace
