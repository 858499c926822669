// Guards against rolling back a version that is no worse than the former one,
// and against not noticing one that is.

#include <godwit/core/random.hpp>
#include <godwit/rollout/version_comparison.hpp>
#include <godwit/rollout/version_judge.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <cstdint>

namespace {

using namespace godwit;
using namespace godwit::rollout;

std::uint64_t draw(core::random& random, std::uint64_t count, double rate)
{
    std::uint64_t drawn = 0;
    for (std::uint64_t each = 0; each < count; ++each)
        drawn += random.unit() < rate ? 1 : 0;
    return drawn;
}

class version_comparison_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(version_comparison_test);
    CPPUNIT_TEST(test_equal_versions_are_rarely_called_worse);
    CPPUNIT_TEST(test_a_failing_version_is_found_within_fifty_bad_responses);
    CPPUNIT_TEST(test_a_better_version_is_not_called_worse);
    CPPUNIT_TEST(test_trouble_of_a_zone_is_not_mistaken_for_the_version);
    CPPUNIT_TEST(test_a_rising_load_is_not_mistaken_for_the_version);
    CPPUNIT_TEST(test_a_slower_version_is_found);
    CPPUNIT_TEST(test_a_version_that_is_bad_on_one_route_is_found);
    CPPUNIT_TEST(test_a_version_that_turns_bad_at_the_end_is_found);
    CPPUNIT_TEST(test_a_version_that_stays_good_at_the_end_is_accepted);
    CPPUNIT_TEST(test_counts_of_restarted_hosts_are_not_negative);
    CPPUNIT_TEST_SUITE_END();

    // Looked at after each of many intervals, with shares that change.
    void test_equal_versions_are_rarely_called_worse()
    {
        constexpr int sequences = 2000;
        constexpr int intervals = 150;
        constexpr double false_alarm = 0.01;
        core::random random(7);
        int alarms = 0;
        for (int sequence = 0; sequence < sequences; ++sequence) {
            version_comparison comparison(false_alarm);
            const double rate = 0.002 + 0.2 * random.unit();
            for (int interval = 0; interval < intervals; ++interval) {
                const std::uint64_t former = 5 + random.below(60);
                const std::uint64_t target = random.below(12);
                comparison.add(
                    {former, draw(random, former, rate)},
                    {target, draw(random, target, rate)});
            }
            alarms += comparison.is_worse() ? 1 : 0;
        }
        // Three standard deviations above the bound.
        constexpr double expected = sequences * false_alarm;
        CPPUNIT_ASSERT(alarms <= expected + 3 * std::sqrt(expected));
    }

    void test_a_failing_version_is_found_within_fifty_bad_responses()
    {
        for (const double base : {0.004, 0.05, 0.14}) {
            core::random random(11);
            version_comparison comparison(1e-6);
            std::uint64_t bad = 0;
            for (int interval = 0; !comparison.is_worse(); ++interval) {
                const std::uint64_t in_target =
                    draw(random, 3, base + 0.4 * (1 - base));
                bad += in_target;
                comparison.add({97, draw(random, 97, base)}, {3, in_target});
                CPPUNIT_ASSERT(bad < 50);
            }
        }
    }

    void test_a_better_version_is_not_called_worse()
    {
        core::random random(3);
        version_comparison comparison(0.001);
        for (int interval = 0; interval < 500; ++interval)
            comparison.add(
                {50, draw(random, 50, 0.2)}, {5, draw(random, 5, 0.02)});
        CPPUNIT_ASSERT(!comparison.is_worse());
    }

    /// Adds responses of which a share fails and the others take `ms`, spread
    /// by a factor of up to four.
    static void
    add(response_counts& counts,
        core::random& random,
        std::uint64_t count,
        double failure_rate,
        double ms)
    {
        for (std::uint64_t each = 0; each < count; ++each) {
            ++counts.total;
            if (random.unit() < failure_rate) {
                ++counts.failed;
                continue;
            }
            const double factor = std::pow(4.0, random.unit());
            const std::chrono::microseconds latency(
                static_cast<std::int64_t>(1000 * ms * factor));
            ++counts.latencies.at(response_counts::bucket_of(latency));
        }
    }

    void test_trouble_of_a_zone_is_not_mistaken_for_the_version()
    {
        core::random random(5);
        version_judge judge(1);
        stratified_counts totals;
        for (int interval = 0; interval < 200; ++interval) {
            // The target has most of its servers in the zone with trouble.
            version_counts& east = totals[{"r", core::zone_name("east")}];
            add(east.former, random, 20, 0.3, 200);
            add(east.target, random, 6, 0.3, 200);
            version_counts& west = totals[{"r", core::zone_name("west")}];
            add(west.former, random, 60, 0.01, 20);
            CPPUNIT_ASSERT(!judge.compare(totals));
        }
    }

    void test_a_rising_load_is_not_mistaken_for_the_version()
    {
        core::random random(5);
        version_judge judge(1);
        stratified_counts totals;
        version_counts& counts = totals[{"r", core::zone_name("east")}];
        for (int interval = 0; interval < 200; ++interval) {
            const double ms = interval < 100 ? 20 : 300;
            add(counts.former, random, 60, 0.01, ms);
            add(counts.target, random, 3, 0.01, ms);
            CPPUNIT_ASSERT(!judge.compare(totals));
        }
    }

    void test_a_slower_version_is_found()
    {
        core::random random(5);
        version_judge judge(986);
        stratified_counts totals;
        version_counts& counts = totals[{"r", core::zone_name("east")}];
        std::optional<judgement> found;
        for (int interval = 0; interval < 100 && !found; ++interval) {
            add(counts.former, random, 60, 0.01, 20);
            add(counts.target, random, 3, 0.01, 60);
            found = judge.compare(totals);
        }
        CPPUNIT_ASSERT(found.has_value());
        CPPUNIT_ASSERT(found->criterion == comparison_criterion::latency);
        CPPUNIT_ASSERT(counts.target.total < 60);
    }

    void test_a_version_that_is_bad_on_one_route_is_found()
    {
        core::random random(5);
        version_judge judge(89);
        stratified_counts totals;
        std::optional<judgement> found;
        for (int interval = 0; interval < 200 && !found; ++interval) {
            version_counts& good = totals[{"good", core::zone_name("east")}];
            add(good.former, random, 60, 0.01, 20);
            add(good.target, random, 3, 0.01, 20);
            version_counts& bad = totals[{"bad", core::zone_name("east")}];
            add(bad.former, random, 30, 0.01, 20);
            add(bad.target, random, 2, 0.4, 20);
            found = judge.compare(totals);
        }
        CPPUNIT_ASSERT(found.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("bad"), found->route);
        CPPUNIT_ASSERT(found->criterion == comparison_criterion::failures);
        CPPUNIT_ASSERT(found->target.bad < 50);
    }

    /// Returns whether a version is found to be worse that serves few requests
    /// at first and then all of them, with these failures and this latency.
    static bool is_found_at_the_end(double failure_rate, double ms)
    {
        core::random random(5);
        version_judge judge(986);
        stratified_counts totals;
        version_counts& counts = totals[{"r", core::zone_name("east")}];
        for (int interval = 0; interval < 60; ++interval) {
            add(counts.former, random, 60, 0.05, 20);
            add(counts.target, random, 3, 0.05, 20);
            CPPUNIT_ASSERT(!judge.compare(totals));
        }
        bool is_found = false;
        for (int interval = 0; interval < 20 && !is_found; ++interval) {
            add(counts.target, random, 60, failure_rate, ms);
            is_found = judge.compare(totals).has_value();
        }
        return is_found;
    }

    void test_a_version_that_turns_bad_at_the_end_is_found()
    {
        CPPUNIT_ASSERT(is_found_at_the_end(0.4, 20));
        CPPUNIT_ASSERT(is_found_at_the_end(0.05, 160));
    }

    void test_a_version_that_stays_good_at_the_end_is_accepted()
    {
        CPPUNIT_ASSERT(!is_found_at_the_end(0.05, 20));
    }

    void test_counts_of_restarted_hosts_are_not_negative()
    {
        response_counts before;
        before.total = 9;
        before.failed = 2;
        before.latencies.at(3) = 7;
        response_counts now;
        now.total = 4;
        now.latencies.at(3) = 4;
        CPPUNIT_ASSERT(now.since(before) == response_counts());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(version_comparison_test);

} // namespace
