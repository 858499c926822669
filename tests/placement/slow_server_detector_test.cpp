#include "samples.hpp"

#include <godwit/placement/event_gap_tracker.hpp>
#include <godwit/placement/slow_server_detector.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace {

using namespace godwit::placement;
using namespace godwit::placement::test;

server_gaps gaps_of(int server, std::uint32_t streams, std::uint32_t gap_ms)
{
    return {
        server_id("i-" + std::to_string(server)),
        {streams, streams * gap_ms},
        false};
}

class slow_server_detector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(slow_server_detector_test);
    CPPUNIT_TEST(test_a_server_that_writes_much_slower_is_slow);
    CPPUNIT_TEST(test_prefill_does_not_mark_a_server_slow);
    CPPUNIT_TEST(test_a_slow_server_recovers_below_the_lower_threshold);
    CPPUNIT_TEST(test_load_on_all_servers_marks_none_slow);
    CPPUNIT_TEST(test_few_servers_are_not_compared);
    CPPUNIT_TEST(test_imperceptible_gaps_mark_no_server_slow);
    CPPUNIT_TEST(test_a_recovered_server_is_unmarked_at_once);
    CPPUNIT_TEST(test_a_slow_server_without_streams_goes_on_probation);
    CPPUNIT_TEST(test_two_late_events_show_a_slow_server);
    CPPUNIT_TEST(test_a_skipped_gap_does_not_count);
    CPPUNIT_TEST(test_long_gaps_are_bounded);
    CPPUNIT_TEST(test_simultaneous_events_share_their_gap);
    CPPUNIT_TEST(test_only_large_differences_are_significant);
    CPPUNIT_TEST_SUITE_END();

    slow_server_detector detector_;

    double slowness(int server, int now_ms)
    {
        return speed(server, now_ms).slowness;
    }

    std::optional<godwit::core::time_point>
    probation_since(int server, int now_ms)
    {
        return speed(server, now_ms).probation_since;
    }

    server_speed speed(int server, int now_ms)
    {
        return detector_.at(
            server_id("i-" + std::to_string(server)), at_ms(now_ms));
    }

    static std::vector<server_gaps>
    with_last(std::uint32_t gap_ms, std::uint32_t streams = 2)
    {
        return {
            gaps_of(1, 3, 40),
            gaps_of(2, 3, 40),
            gaps_of(3, 3, 40),
            gaps_of(4, streams, gap_ms)};
    }

    void test_a_server_that_writes_much_slower_is_slow()
    {
        const auto changes = detector_.compare(with_last(140), at_ms(0));
        CPPUNIT_ASSERT(changes.slower == std::vector{server_id("i-4")});
        CPPUNIT_ASSERT(changes.recovered.empty());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.5, slowness(4, 0), 0.01);
        CPPUNIT_ASSERT_EQUAL(1.0, slowness(1, 0));
        // The change is reported once.
        CPPUNIT_ASSERT(
            detector_.compare(with_last(140), at_ms(100)) == speed_changes());
    }

    void test_prefill_does_not_mark_a_server_slow()
    {
        auto observed = with_last(80);
        CPPUNIT_ASSERT(
            detector_.compare(observed, at_ms(0)) == speed_changes());
        CPPUNIT_ASSERT_EQUAL(1.0, slowness(4, 0));
        // While it prefills, its gap without prefill is compared.
        observed.back().gaps = {2, 2 * 120};
        observed.back().is_prefilling = true;
        CPPUNIT_ASSERT(
            detector_.compare(observed, at_ms(100)) == speed_changes());
        observed.back().gaps = {2, 2 * 280};
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1},
            detector_.compare(observed, at_ms(200)).slower.size());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.5, slowness(4, 200), 0.01);
    }

    // A short improvement must not attract prompts.
    void test_a_slow_server_recovers_below_the_lower_threshold()
    {
        [[maybe_unused]] const auto before =
            detector_.compare(with_last(140), at_ms(0));
        CPPUNIT_ASSERT(
            detector_.compare(with_last(64), at_ms(100)) == speed_changes());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.6, slowness(4, 100), 0.01);
    }

    void test_load_on_all_servers_marks_none_slow()
    {
        std::vector<server_gaps> observed;
        for (int server = 1; server <= 8; ++server)
            observed.push_back(gaps_of(server, 3, 140));
        CPPUNIT_ASSERT(
            detector_.compare(observed, at_ms(0)) == speed_changes());
    }

    void test_few_servers_are_not_compared()
    {
        CPPUNIT_ASSERT(
            detector_.compare(
                {gaps_of(1, 3, 40), gaps_of(2, 3, 40), gaps_of(4, 3, 400)},
                at_ms(0)) == speed_changes());
    }

    void test_imperceptible_gaps_mark_no_server_slow()
    {
        CPPUNIT_ASSERT(
            detector_.compare(
                {gaps_of(1, 3, 5),
                 gaps_of(2, 3, 5),
                 gaps_of(3, 3, 5),
                 gaps_of(4, 3, 30)},
                at_ms(0)) == speed_changes());
    }

    void test_a_recovered_server_is_unmarked_at_once()
    {
        [[maybe_unused]] const auto before =
            detector_.compare(with_last(140), at_ms(0));
        const auto changes = detector_.compare(with_last(40), at_ms(100));
        CPPUNIT_ASSERT(changes.recovered == std::vector{server_id("i-4")});
        CPPUNIT_ASSERT_EQUAL(1.0, slowness(4, 100));
    }

    void test_a_slow_server_without_streams_goes_on_probation()
    {
        [[maybe_unused]] const auto before =
            detector_.compare(with_last(140), at_ms(0));
        [[maybe_unused]] const auto silent =
            detector_.compare(with_last(0, 0), at_ms(1900));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3.5, slowness(4, 1900), 0.01);
        CPPUNIT_ASSERT(!probation_since(4, 2000));
        CPPUNIT_ASSERT(
            detector_.compare(with_last(0, 0), at_ms(2001)) == speed_changes());
        CPPUNIT_ASSERT_EQUAL(1.0, slowness(4, 2001));
        CPPUNIT_ASSERT(probation_since(4, 2001) == at_ms(2000));
        CPPUNIT_ASSERT(!probation_since(1, 2001));
        const auto changes = detector_.compare(with_last(0, 0), at_ms(12'001));
        CPPUNIT_ASSERT(changes.recovered == std::vector{server_id("i-4")});
        CPPUNIT_ASSERT(!probation_since(4, 12'001));
    }

    static event_gap_tracker steady(int events, int gap_ms)
    {
        event_gap_tracker tracker;
        for (int each = 0; each < events; ++each)
            tracker.record_events(1, at_ms(each * gap_ms));
        return tracker;
    }

    void test_two_late_events_show_a_slow_server()
    {
        event_gap_tracker tracker = steady(10, 36);
        CPPUNIT_ASSERT(tracker.gaps() == (event_gaps{1, 36}));
        const int last = 9 * 36;
        tracker.record_events(1, at_ms(last + 126));
        tracker.record_events(1, at_ms(last + 2 * 126));
        CPPUNIT_ASSERT(
            tracker.gaps().total_ms >
            36 * slow_server_detector::slow_threshold);
    }

    void test_a_skipped_gap_does_not_count()
    {
        event_gap_tracker tracker = steady(10, 36);
        tracker.skip_next_gap();
        tracker.record_events(1, at_ms(9 * 36 + 900));
        CPPUNIT_ASSERT(tracker.gaps() == (event_gaps{1, 36}));
    }

    void test_long_gaps_are_bounded()
    {
        event_gap_tracker tracker = steady(1, 36);
        CPPUNIT_ASSERT(tracker.gaps() == event_gaps());
        tracker.record_events(1, at_ms(60'000));
        CPPUNIT_ASSERT(tracker.gaps() == (event_gaps{1, 2000}));
    }

    void test_simultaneous_events_share_their_gap()
    {
        event_gap_tracker tracker = steady(1, 36);
        tracker.record_events(0, at_ms(50));
        tracker.record_events(4, at_ms(144));
        CPPUNIT_ASSERT(tracker.gaps() == (event_gaps{1, 36}));
    }

    void test_only_large_differences_are_significant()
    {
        CPPUNIT_ASSERT(!differ_significantly({2, 80}, {3, 150}));
        CPPUNIT_ASSERT(differ_significantly({2, 80}, {3, 240}));
        CPPUNIT_ASSERT(differ_significantly({3, 240}, {2, 80}));
        CPPUNIT_ASSERT(differ_significantly({}, {1, 40}));
        CPPUNIT_ASSERT(!differ_significantly({}, {}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_server_detector_test);

} // namespace
