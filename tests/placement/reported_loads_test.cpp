// Guards against choices by load statements that no longer hold: of a previous
// process, from before a suspension, or too old.

#include "samples.hpp"

#include <godwit/placement/reported_loads.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <string>

namespace {

using namespace godwit::placement;
using namespace godwit::placement::test;

constexpr std::uint64_t huge = std::uint64_t{1} << 40U;

class reported_loads_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(reported_loads_test);
    CPPUNIT_TEST(test_figures_out_of_range_are_refused);
    CPPUNIT_TEST(test_a_statement_loses_weight_with_its_age);
    CPPUNIT_TEST(test_the_half_life_follows_the_changes);
    CPPUNIT_TEST(test_the_half_life_is_bounded);
    CPPUNIT_TEST(test_a_late_response_does_not_replace_a_newer_one);
    CPPUNIT_TEST(test_a_restart_ends_the_statement);
    CPPUNIT_TEST(test_a_suspension_ends_all_statements);
    CPPUNIT_TEST(test_the_number_of_servers_is_bounded);
    CPPUNIT_TEST(test_work_known_from_hosts_does_not_count_twice);
    CPPUNIT_TEST_SUITE_END();

    const server_id server_{"i-1"};
    reported_loads loads_;

    static reported_load
    load(unsigned slowdown, int requested_ms, const std::string& server = "i-1")
    {
        return {
            server_id(server),
            server_start{7},
            load_statement::create(1, 0, 4, slowdown).value(),
            1,
            at_ms(requested_ms)};
    }

    bool update(
        const reported_load& load,
        int now_ms,
        statement_origin origin = statement_origin::own)
    {
        return loads_.update(load, origin, at_ms(now_ms));
    }

    void test_figures_out_of_range_are_refused()
    {
        CPPUNIT_ASSERT(load_statement::create(0, 0, 1, 1));
        CPPUNIT_ASSERT(load_statement::create(100'000, 0, 1, 10'000));
        CPPUNIT_ASSERT(!load_statement::create(0, 0, 0, 100));
        CPPUNIT_ASSERT(!load_statement::create(0, 0, 1, 0));
        CPPUNIT_ASSERT(!load_statement::create(0, 0, 1, 10'001));
        CPPUNIT_ASSERT(!load_statement::create(huge, 0, 1, 100));
        CPPUNIT_ASSERT(!load_statement::create(0, huge, 1, 100));
        CPPUNIT_ASSERT(!load_statement::create(0, 0, huge, 100));
        CPPUNIT_ASSERT(!load_statement::create(0, 0, 1, huge));
    }

    void test_a_statement_loses_weight_with_its_age()
    {
        CPPUNIT_ASSERT(!loads_.at(server_, at_ms(0)));
        CPPUNIT_ASSERT(update(load(250, 0), 0));
        const int half_life_ms = 693;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            2.5, loads_.at(server_, at_ms(0))->slowdown, 0.001);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1.75, loads_.at(server_, at_ms(half_life_ms))->slowdown, 0.01);
        CPPUNIT_ASSERT(loads_.at(server_, at_ms(half_life_ms))->is_stated_slow);
        CPPUNIT_ASSERT(!loads_.at(server_, at_ms(5 * half_life_ms)));
    }

    void test_the_half_life_follows_the_changes()
    {
        // A change each 600 ms, observed each 100 ms.
        for (int count = 0; count < 100; ++count)
            update(
                load(count / 6 % 2 == 0 ? 100 : 250, 100 * count), 100 * count);
        const auto learned = loads_.half_life(server_).value();
        CPPUNIT_ASSERT(learned > std::chrono::milliseconds(300));
        CPPUNIT_ASSERT(learned < std::chrono::milliseconds(600));
    }

    void test_the_half_life_is_bounded()
    {
        int now_ms = 0;
        for (; now_ms < 3000; now_ms += 10)
            update(load(now_ms % 20 == 0 ? 100 : 250, now_ms), now_ms);
        CPPUNIT_ASSERT(
            loads_.half_life(server_) == std::chrono::milliseconds(100));
        for (; now_ms < 120'000; now_ms += 100)
            update(load(100, now_ms), now_ms);
        CPPUNIT_ASSERT(loads_.half_life(server_) == std::chrono::seconds(3));
    }

    void test_a_late_response_does_not_replace_a_newer_one()
    {
        CPPUNIT_ASSERT(update(load(100, 50), 60));
        CPPUNIT_ASSERT(!update(load(250, 0), 150));
        CPPUNIT_ASSERT(!update(load(250, 50), 150));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1.0, loads_.at(server_, at_ms(150))->slowdown, 0.001);
    }

    void test_a_restart_ends_the_statement()
    {
        update(load(250, 0), 0);
        loads_.forget(server_);
        CPPUNIT_ASSERT(!loads_.at(server_, at_ms(1)));
        reported_load restarted = load(100, 10);
        restarted.start = server_start{8};
        CPPUNIT_ASSERT(update(restarted, 20));
        // A response of the previous process, as a neighbour received it.
        CPPUNIT_ASSERT(!update(load(250, 15), 30, statement_origin::neighbour));
        CPPUNIT_ASSERT(!loads_.at(server_, at_ms(30))->is_stated_slow);
    }

    void test_a_suspension_ends_all_statements()
    {
        update(load(250, 0), 0);
        loads_.clear(at_ms(5000));
        CPPUNIT_ASSERT(loads_.empty());
        // A response to a request from before the suspension.
        CPPUNIT_ASSERT(!update(load(250, 4999), 5010));
        // A neighbour's message that was waiting in a buffer.
        CPPUNIT_ASSERT(
            !update(load(250, 5001), 5020, statement_origin::neighbour));
        CPPUNIT_ASSERT(update(load(250, 5001), 5020));
        CPPUNIT_ASSERT(
            update(load(100, 5600), 5610, statement_origin::neighbour));
    }

    void test_the_number_of_servers_is_bounded()
    {
        const auto count = static_cast<int>(reported_loads::max_servers);
        for (int number = 0; number <= count; ++number)
            update(load(250, number, "i-" + std::to_string(number)), number);
        CPPUNIT_ASSERT_EQUAL(reported_loads::max_servers, loads_.size());
        CPPUNIT_ASSERT(!loads_.half_life(server_id("i-0")));
        CPPUNIT_ASSERT(loads_.half_life(server_id("i-1")));
    }

    void test_work_known_from_hosts_does_not_count_twice()
    {
        reported_load stated = load(100, 0);
        stated.statement = load_statement::create(6, 10, 6, 100).value();
        stated.known_requests = 4;
        update(stated, 0);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            12.0, loads_.at(server_, at_ms(0))->other_requests, 0.001);
        stated.known_requests = 20;
        stated.requested_at = at_ms(10);
        update(stated, 10);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            0.0, loads_.at(server_, at_ms(10))->other_requests, 0.001);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reported_loads_test);

} // namespace
