// Guards against memory that is planned by wrong output lengths: observations
// that are outdated, too few, or not of this fleet.

#include <godwit/admission/generation_size.hpp>
#include <godwit/admission/length_estimator.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <godwit/core/random.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <numbers>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::admission;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

constexpr std::uint64_t tokens_per_event = 4;
constexpr int step_ms = 40; ///< Between two events of a run.

/// Runs of one route in virtual time: `per_second` start, and each writes an
/// event in each step.
class route_load
{
public:
    route_load(double per_second, double spread)
        : start_chance_(per_second * step_ms / 1000), spread_(spread)
    {}

    void
    run(length_estimator& estimator,
        double mean_events,
        int from_ms,
        int until_ms)
    {
        for (int at = from_ms; at < until_ms; at += step_ms) {
            if (random_.unit() < start_chance_)
                runs_.push_back({events(mean_events), 0});
            for (auto& [length, written] : runs_) {
                estimator.record_growth(
                    tokens_per_event * written,
                    tokens_per_event * (written + 1),
                    at_ms(at));
                ++written;
                if (written == length)
                    estimator.record_end(
                        {3000, 100'000, std::nullopt},
                        tokens_per_event * length,
                        at_ms(at));
            }
            std::erase_if(runs_, [](const auto& each) {
                return each.second == each.first;
            });
        }
    }

private:
    std::uint64_t events(double mean)
    {
        const double radius = std::sqrt(-2 * std::log1p(-random_.unit()));
        const double normal =
            radius * std::cos(2 * std::numbers::pi * random_.unit());
        const double length =
            mean * std::exp(spread_ * normal - spread_ * spread_ / 2);
        return static_cast<std::uint64_t>(std::max(1.0, std::round(length)));
    }

    double start_chance_;
    double spread_;
    core::random random_{3};
    std::vector<std::pair<std::uint64_t, std::uint64_t>> runs_;
};

length_sums ended_at(std::uint64_t tokens, int count)
{
    length_sums sums;
    for (int each = 0; each < count; ++each) {
        sums.record_growth(0, tokens);
        sums.record_end(tokens);
    }
    return sums;
}

class length_estimator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(length_estimator_test);
    CPPUNIT_TEST(test_nothing_is_derived_from_few_observations);
    CPPUNIT_TEST(test_running_generations_count_as_longer);
    CPPUNIT_TEST(test_the_rest_depends_on_what_was_written);
    CPPUNIT_TEST(test_tenfold_longer_outputs_are_learned);
    CPPUNIT_TEST(test_tenfold_shorter_outputs_are_learned);
    CPPUNIT_TEST(test_neighbours_sums_replace_earlier_ones_and_fade);
    CPPUNIT_TEST(test_malformed_sums_are_refused);
    CPPUNIT_TEST(test_better_estimates_of_callers_are_used);
    CPPUNIT_TEST(test_observed_growth_replaces_the_constants);
    CPPUNIT_TEST_SUITE_END();

    void test_nothing_is_derived_from_few_observations()
    {
        CPPUNIT_ASSERT(!ended_at(400, 19).remaining(0, 0.5));
        CPPUNIT_ASSERT(ended_at(400, 20).remaining(0, 0.5));
        // Nothing is known about runs longer than all observed ones.
        CPPUNIT_ASSERT(!ended_at(400, 20).remaining(5000, 0.5));
    }

    // Without censored observations the median would be 100 tokens.
    void test_running_generations_count_as_longer()
    {
        length_sums sums = ended_at(100, 20);
        for (int running = 0; running < 60; ++running)
            sums.record_growth(0, 300);
        const auto median = sums.remaining(0, 0.5);
        CPPUNIT_ASSERT(median && *median >= 250);
    }

    void test_the_rest_depends_on_what_was_written()
    {
        length_sums sums = ended_at(20, 50);
        sums += ended_at(1000, 50);
        const auto at_start = sums.remaining(0, 0.4);
        const auto later = sums.remaining(100, 0.4);
        CPPUNIT_ASSERT(at_start && *at_start <= 23);
        CPPUNIT_ASSERT(later && *later >= 600 && *later <= 924);
    }

    // After 30 s of the new lengths the median is within a factor of two.
    static void check_change(double mean_before, double mean_after)
    {
        constexpr double spread = 1.09;
        const double median_tokens =
            tokens_per_event * mean_after * std::exp(-spread * spread / 2);
        length_estimator estimator;
        route_load load(12, spread);
        load.run(estimator, mean_before, 0, 60'000);
        load.run(estimator, mean_after, 60'000, 90'000);
        const auto learned = estimator.observe(0, 200, at_ms(90'000));
        CPPUNIT_ASSERT(learned);
        const auto median =
            static_cast<double>(learned->median_remaining_tokens);
        CPPUNIT_ASSERT(median > median_tokens / 2);
        CPPUNIT_ASSERT(median < median_tokens * 2);
    }

    void test_tenfold_longer_outputs_are_learned()
    {
        check_change(18.8, 188);
        check_change(2.2, 22);
    }

    void test_tenfold_shorter_outputs_are_learned()
    {
        check_change(188, 18.8);
        check_change(22, 2.2);
    }

    void test_neighbours_sums_replace_earlier_ones_and_fade()
    {
        length_estimator estimator;
        const core::host_name neighbour("n0");
        for (int report = 0; report < 10; ++report)
            estimator.update_from_neighbour(
                neighbour, ended_at(400, 30), at_ms(100 * report));
        CPPUNIT_ASSERT(estimator.total(at_ms(900)).observations() <= 30);
        CPPUNIT_ASSERT(estimator.observe(0, 200, at_ms(1000)));
        // What this host reports on does not include its neighbours' sums.
        CPPUNIT_ASSERT(estimator.own(at_ms(1000)) == length_sums());
        // A host that is partitioned falls back to the constants.
        CPPUNIT_ASSERT(!estimator.observe(0, 200, at_ms(11'000)));
        for (int host = 0; host < 200; ++host)
            estimator.update_from_neighbour(
                core::host_name("h" + std::to_string(host)),
                ended_at(400, 1),
                at_ms(200'000));
        CPPUNIT_ASSERT(
            estimator.total(at_ms(200'000)).observations() <=
            length_estimator::max_neighbours);
    }

    void test_malformed_sums_are_refused()
    {
        CPPUNIT_ASSERT(length_sums::create({0, 2.5}, {9, 1}, {2, 30, 40}));
        for (const double wrong :
             {-1.0,
              1e9,
              std::numeric_limits<double>::infinity(),
              std::numeric_limits<double>::quiet_NaN()}) {
            CPPUNIT_ASSERT(!length_sums::create({0, wrong}, {}, {}));
            CPPUNIT_ASSERT(!length_sums::create({}, {wrong}, {}));
            CPPUNIT_ASSERT(!length_sums::create({}, {}, {wrong, 0, 0}));
            CPPUNIT_ASSERT(!length_sums::create({}, {}, {1, wrong, 0}));
        }
        const std::vector<double> too_many(length_sums::bucket_count + 1, 1);
        CPPUNIT_ASSERT(!length_sums::create(too_many, {}, {}));
    }

    void test_better_estimates_of_callers_are_used()
    {
        length_estimator estimator;
        for (std::uint32_t each = 0; each < 100; ++each) {
            const std::uint32_t length = each % 2 == 0 ? 40 : 1200;
            const auto now = at_ms(static_cast<int>(10 * each));
            estimator.record_growth(0, length, now);
            estimator.record_end({3000, 4000, length * 4 / 5}, length, now);
        }
        const auto observed = estimator.observe(0, 200, at_ms(1000));
        CPPUNIT_ASSERT(observed && observed->are_estimates_better);
        const auto exact =
            generation_size::create({3000, 4000, 32}, 0, observed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{40}, exact.expected_output_tokens());
        // An estimate that was exceeded no longer counts.
        const auto exceeded =
            generation_size::create({3000, 4000, 32}, 100, observed);
        CPPUNIT_ASSERT(exceeded.remaining_tokens() > 500);
    }

    void test_observed_growth_replaces_the_constants()
    {
        const observed_lengths observed{400, 900, 130, false};
        const generation_parameters parameters{3000, 1000, 100};
        const auto beginning = generation_size::create(parameters, 0, observed);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{400}, beginning.expected_output_tokens());
        CPPUNIT_ASSERT(!beginning.is_short());
        CPPUNIT_ASSERT(beginning.migrated_work().tokens > 3000);
        CPPUNIT_ASSERT(beginning.migrated_work().tokens <= 3130);
        // No run exceeds its maximum.
        const auto ending = generation_size::create(parameters, 996, observed);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{4000}, ending.migrated_work().tokens);
        // A tail of long outputs is no short generation.
        const observed_lengths mixed{8, 500, 130, false};
        CPPUNIT_ASSERT(
            !generation_size::create(parameters, 0, mixed).is_short());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(length_estimator_test);

} // namespace
