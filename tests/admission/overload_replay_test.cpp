// Guards against streams that are held until they expire, and against retry
// times at which callers are refused again.

#include "overload_replay.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::admission;
using namespace godwit::admission::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Sums over all seeds, without and with the part.
struct comparison
{
    replay_result before;
    replay_result with;
};

/// What the replays counted, printed at the end: the progress of the tests must
/// stay on one line each for `meta/known-red`.
struct replay_figures
{
    std::string text;

    ~replay_figures() { std::cout << text; }
};

replay_figures& figures()
{
    static replay_figures all;
    return all;
}

class overload_replay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(overload_replay_test);
    CPPUNIT_TEST(test_refusals_are_immediate);
    CPPUNIT_TEST(test_callers_that_retry_when_told_are_served);
    CPPUNIT_TEST(test_no_more_requests_are_refused);
    CPPUNIT_TEST(test_more_requests_are_served_in_time);
    CPPUNIT_TEST(test_normal_load_is_not_refused);
    CPPUNIT_TEST(test_a_host_without_neighbours_refuses_at_once);
    CPPUNIT_TEST(test_lost_capacity_is_predicted_again);
    CPPUNIT_TEST_SUITE_END();

    // A quarter of the first deployment.
    static std::vector<stream_kind> kinds()
    {
        return {
            {6.2, 2, seconds(4), seconds(39), 3079, 752, seconds(7)},
            {12.1,
             0,
             milliseconds(1500),
             seconds(6),
             2550,
             8,
             milliseconds(500)}};
    }

    // Half of what three times the load needs.
    static constexpr std::uint64_t capacity = 236'000;

    static replay_result run(replay_settings settings)
    {
        replay_result sum;
        for (settings.seed = 1; settings.seed <= 5; ++settings.seed)
            sum += overload_replay(settings, kinds()).run(capacity);
        figures().text += "predicts=" + std::to_string(settings.predicts) +
                          " shared=" + std::to_string(settings.shares_order) +
                          " hosts=" + std::to_string(settings.hosts) +
                          " load=" + std::to_string(settings.load) +
                          " left=" + std::to_string(settings.capacity_left) +
                          ' ' + sum.to_string() + '\n';
        return sum;
    }

    static comparison compare(replay_settings settings)
    {
        comparison compared;
        settings.predicts = false;
        compared.before = run(settings);
        settings.predicts = true;
        compared.with = run(settings);
        return compared;
    }

    // With the order that hosts agree on where both parts are enabled.
    static const comparison& overload()
    {
        static const comparison compared = compare({.shares_order = true});
        return compared;
    }

    static void check_immediate(const replay_result& result)
    {
        CPPUNIT_ASSERT(result.refusals > 0);
        CPPUNIT_ASSERT(100 * result.immediate_refusals >= 95 * result.refusals);
    }

    void test_refusals_are_immediate() { check_immediate(overload().with); }

    void test_callers_that_retry_when_told_are_served()
    {
        const replay_result& with = overload().with;
        CPPUNIT_ASSERT(with.told_retries > 0);
        CPPUNIT_ASSERT(
            100 * with.told_retries_served >= 90 * with.told_retries);
    }

    void test_no_more_requests_are_refused()
    {
        CPPUNIT_ASSERT(overload().with.refusals <= overload().before.refusals);
    }

    void test_more_requests_are_served_in_time()
    {
        CPPUNIT_ASSERT(overload().with.in_time > overload().before.in_time);
    }

    void test_normal_load_is_not_refused()
    {
        const auto result = run({.predicts = true, .load = 1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.predicted_refusals);
    }

    void test_a_host_without_neighbours_refuses_at_once()
    {
        check_immediate(compare({.hosts = 1}).with);
    }

    // Callers that were told a time before the loss are told another one.
    void test_lost_capacity_is_predicted_again()
    {
        const comparison compared =
            compare({.shares_order = true, .capacity_left = 0.6});
        CPPUNIT_ASSERT(compared.with.predicted_refusals > 0);
        CPPUNIT_ASSERT(compared.with.in_time >= compared.before.in_time);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_replay_test);

} // namespace
