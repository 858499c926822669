#include <godwit/core/random.hpp>
#include <godwit/dispatch/length_histogram.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <cstdint>

namespace {

using godwit::core::random;
using godwit::dispatch::length_histogram;

constexpr int sample_count = 4000;

std::uint32_t exponential(random& generator, double mean)
{
    const double value = -mean * std::log(1.0 - generator.unit());
    return static_cast<std::uint32_t>(value) + 1;
}

void observe(length_histogram& histogram, std::uint32_t length)
{
    histogram.progressed(0, length);
    histogram.ended(length);
}

class length_histogram_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(length_histogram_test);
    CPPUNIT_TEST(test_buckets_cover_all_lengths);
    CPPUNIT_TEST(test_quantiles_of_exponential_lengths);
    CPPUNIT_TEST(test_quantiles_of_a_heavy_tail);
    CPPUNIT_TEST(test_cut_generations_count_for_as_far_as_they_came);
    CPPUNIT_TEST(test_follows_a_change);
    CPPUNIT_TEST(test_unseen_lengths_have_no_answer);
    CPPUNIT_TEST_SUITE_END();

    void test_buckets_cover_all_lengths()
    {
        for (std::uint32_t length = 1; length < 100000; length += 7) {
            const auto bucket = length_histogram::bucket_of(length);
            CPPUNIT_ASSERT(length_histogram::lower_edge(bucket) <= length);
            CPPUNIT_ASSERT(length_histogram::lower_edge(bucket + 1) > length);
        }
        CPPUNIT_ASSERT_EQUAL(
            length_histogram::bucket_count - 1,
            length_histogram::bucket_of(UINT32_MAX));
    }

    void test_quantiles_of_exponential_lengths()
    {
        // An exponential length has the same rest whatever came so far.
        constexpr double mean = 400.0;
        random generator(1);
        length_histogram histogram;
        for (int sample = 0; sample < sample_count; ++sample)
            observe(histogram, exponential(generator, mean));
        for (const std::uint32_t so_far : {0U, 100U, 500U}) {
            for (const double quantile : {0.3, 0.5, 0.8}) {
                const double expected = -mean * std::log(1.0 - quantile);
                const auto rest = histogram.remaining(so_far, quantile);
                CPPUNIT_ASSERT(rest.has_value());
                CPPUNIT_ASSERT_DOUBLES_EQUAL(expected, *rest, 0.2 * expected);
            }
        }
    }

    void test_quantiles_of_a_heavy_tail()
    {
        // Of a Pareto length with exponent 1 half get past twice so far.
        random generator(2);
        length_histogram histogram;
        for (int sample = 0; sample < sample_count; ++sample) {
            const double length = 100.0 / (1.0 - generator.unit());
            observe(
                histogram,
                static_cast<std::uint32_t>(std::fmin(length, 500000.0)));
        }
        for (const std::uint32_t so_far : {200U, 800U}) {
            const auto rest = histogram.remaining(so_far, 0.5);
            CPPUNIT_ASSERT(rest.has_value());
            CPPUNIT_ASSERT_DOUBLES_EQUAL(so_far, *rest, 0.25 * so_far);
        }
    }

    void test_cut_generations_count_for_as_far_as_they_came()
    {
        // Two in three are cut at 100 tokens; taking only the finished ones
        // would make the lengths look much shorter.
        constexpr double mean = 400.0;
        random generator(3);
        length_histogram histogram;
        for (int sample = 0; sample < sample_count; ++sample) {
            const std::uint32_t length = exponential(generator, mean);
            if (sample % 3 != 0 && length > 100)
                histogram.progressed(0, 100);
            else
                observe(histogram, length);
        }
        const auto rest = histogram.remaining(0, 0.5);
        CPPUNIT_ASSERT(rest.has_value());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(mean * std::log(2.0), *rest, 50.0);
    }

    void test_follows_a_change()
    {
        random generator(4);
        length_histogram histogram;
        for (int sample = 0; sample < sample_count; ++sample)
            observe(histogram, exponential(generator, 1000.0));
        for (int sample = 0; sample < sample_count; ++sample)
            observe(histogram, exponential(generator, 50.0));
        const auto rest = histogram.remaining(0, 0.5);
        CPPUNIT_ASSERT(rest.has_value());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(50.0 * std::log(2.0), *rest, 8.0);
    }

    void test_unseen_lengths_have_no_answer()
    {
        length_histogram histogram;
        CPPUNIT_ASSERT(!histogram.remaining(0, 0.5));
        for (int sample = 0; sample < 20; ++sample)
            observe(histogram, 100);
        CPPUNIT_ASSERT(histogram.remaining(0, 0.5).has_value());
        CPPUNIT_ASSERT(!histogram.remaining(5000, 0.5));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(length_histogram_test);

} // namespace
