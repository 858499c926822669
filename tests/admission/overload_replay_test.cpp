// Guards against streams that are held until they expire, and against retry
// times at which callers are refused again.

#include "overload_replay.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <iostream>

namespace {

using namespace godwit;
using namespace godwit::admission;
using namespace godwit::admission::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

class overload_replay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(overload_replay_test);
    CPPUNIT_TEST(test_overload_meets_the_targets);
    CPPUNIT_TEST(test_normal_load_is_not_refused);
    CPPUNIT_TEST(test_a_host_without_neighbours_meets_the_targets);
    CPPUNIT_TEST(test_lost_capacity_is_predicted_again);
    CPPUNIT_TEST_SUITE_END();

    // A cell's part of the first deployment.
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
        overload_replay replay(settings, kinds());
        const replay_result result = replay.run(capacity);
        std::cout << "predicts=" << settings.predicts
                  << " shared=" << settings.shares_order << " hosts=" << settings.hosts << " seed=" << settings.seed
                  << " load=" << settings.load
                  << " left=" << settings.capacity_left << ' '
                  << result.to_string() << '\n';
        return result;
    }

    static void check_targets(replay_settings settings)
    {
        settings.predicts = false;
        const replay_result before = run(settings);
        settings.predicts = true;
        const replay_result with = run(settings);
        CPPUNIT_ASSERT(with.refusals > 0);
        CPPUNIT_ASSERT(100 * with.immediate_refusals >= 95 * with.refusals);
        CPPUNIT_ASSERT(
            100 * with.told_retries_served >= 90 * with.told_retries);
        CPPUNIT_ASSERT(with.refusals <= before.refusals);
        CPPUNIT_ASSERT(with.in_time > before.in_time);
    }

    void test_overload_meets_the_targets()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
            check_targets({.shares_order = true, .seed = seed});
        for (std::uint64_t seed = 1; seed <= 5; ++seed)
            check_targets({.seed = seed});
    }

    void test_normal_load_is_not_refused()
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            const auto result =
                run({.predicts = true, .load = 1, .seed = seed});
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, result.predicted_refusals);
        }
    }

    void test_a_host_without_neighbours_meets_the_targets()
    {
        check_targets({.hosts = 1, .seed = 7});
    }

    // Callers that were told a time before the loss are told another one.
    void test_lost_capacity_is_predicted_again()
    {
        replay_settings settings{.capacity_left = 0.6, .seed = 8};
        const replay_result before = run(settings);
        settings.predicts = true;
        const replay_result with = run(settings);
        CPPUNIT_ASSERT(
            with.in_time + with.late >= before.in_time + before.late);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(overload_replay_test);

} // namespace
