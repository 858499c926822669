// Guards against messages without news, too many or too large ones, and
// statements about another process of a server.

#include <godwit/entry/load_statement_exchange.hpp>

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::entry;
using std::chrono::milliseconds;

class load_statement_exchange_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_statement_exchange_test);
    CPPUNIT_TEST(test_a_statement_survives_a_round_trip);
    CPPUNIT_TEST(test_only_news_are_sent);
    CPPUNIT_TEST(test_statements_of_neighbours_are_not_passed_on);
    CPPUNIT_TEST(test_messages_are_bounded);
    CPPUNIT_TEST(test_statements_about_other_processes_are_ignored);
    CPPUNIT_TEST_SUITE_END();

    static entry_settings host_settings()
    {
        const http::endpoint loopback =
            http::endpoint::parse("127.0.0.1:0").value();
        return entry_settings{
            .host = core::host_name("h1"),
            .zone = core::zone_name("east"),
            .callers = loopback,
            .readiness = loopback,
            .operators = loopback,
            .neighbours = loopback,
            .seeds = {}};
    }

    boost::asio::io_context io_;
    entry_context context_{
        io_.get_executor(), host_settings(), codec_functions{}};
    load_statement_exchange exchange_{context_};
    core::time_point now_{std::chrono::hours(1)};

    [[nodiscard]] placement::reported_load
    load(const std::string& server, unsigned slowdown) const
    {
        return {
            placement::server_id(server),
            placement::server_start{7},
            placement::load_statement::create(3, 2, 4, slowdown).value(),
            1,
            now_};
    }

    void state(
        const std::string& server,
        unsigned slowdown,
        placement::statement_origin origin = placement::statement_origin::own)
    {
        context_.loads.update(load(server, slowdown), origin, now_);
    }

    void test_a_statement_survives_a_round_trip()
    {
        const auto sent = load("i-1", 250);
        const core::time_point later = now_ + milliseconds(40);
        const auto received = to_reported_load(to_wire(sent, later), later);
        CPPUNIT_ASSERT(received);
        CPPUNIT_ASSERT(sent == *received);
    }

    void test_only_news_are_sent()
    {
        CPPUNIT_ASSERT(!exchange_.next(now_));
        state("i-1", 100);
        CPPUNIT_ASSERT(exchange_.next(now_));
        now_ += milliseconds(100);
        state("i-1", 110);
        CPPUNIT_ASSERT(!exchange_.next(now_));
        now_ += milliseconds(50);
        state("i-1", 250);
        CPPUNIT_ASSERT(exchange_.next(now_));
        now_ += milliseconds(50);
        state("i-1", 100);
        CPPUNIT_ASSERT(!exchange_.next(now_));
        now_ += milliseconds(50);
        const auto message = exchange_.next(now_);
        CPPUNIT_ASSERT(message);
        CPPUNIT_ASSERT_EQUAL(
            100U, message->statements.front().slowdown_percent);
        CPPUNIT_ASSERT_EQUAL(50U, message->statements.front().age_ms);
    }

    void test_statements_of_neighbours_are_not_passed_on()
    {
        state("i-1", 250, placement::statement_origin::neighbour);
        CPPUNIT_ASSERT(!exchange_.next(now_));
    }

    void test_messages_are_bounded()
    {
        constexpr std::size_t servers = 100;
        for (std::size_t number = 0; number < servers; ++number)
            state("i-" + std::to_string(number), 250);
        auto message = exchange_.next(now_);
        CPPUNIT_ASSERT(message);
        CPPUNIT_ASSERT_EQUAL(
            load_statement_exchange::max_servers, message->statements.size());
        now_ += milliseconds(100);
        // What was sent changes again; the others go first.
        for (const wire::load_statement& each : message->statements)
            state(each.server, 100);
        const auto next = exchange_.next(now_);
        CPPUNIT_ASSERT(next);
        std::size_t unsent = 0;
        for (const wire::load_statement& each : next->statements)
            unsent += each.slowdown_percent == 250 ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(
            servers - load_statement_exchange::max_servers, unsent);
    }

    void test_statements_about_other_processes_are_ignored()
    {
        placement::backend_server server{
            placement::server_id("i-1"),
            core::service_name("lm"),
            http::endpoint::parse("127.0.0.1:9001").value(),
            core::zone_name("east"),
            4,
            placement::server_state::ready,
            1,
            placement::server_start{8}};
        context_.directory.update(server, now_);
        const core::host_name host("h2");
        wire::load_statement received = to_wire(load("i-1", 250), now_);
        exchange_.handle(host, {{received}}, now_);
        received.server = "i-2";
        exchange_.handle(host, {{received}}, now_);
        CPPUNIT_ASSERT(context_.loads.empty());
        received.server = "i-1";
        received.started_at_ms = 8;
        exchange_.handle(host, {{received}}, now_);
        CPPUNIT_ASSERT(context_.loads.at(server.id, now_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_statement_exchange_test);

} // namespace
