#include <godwit/admission/generation_size.hpp>
#include <godwit/admission/wait_policy.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>

namespace {

using namespace godwit;
using namespace godwit::admission;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

class admission_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(test_expected_output_adds_a_margin_to_the_estimate);
    CPPUNIT_TEST(test_counted_growth_is_bounded);
    CPPUNIT_TEST(test_a_run_beyond_its_estimate_still_counts_growth);
    CPPUNIT_TEST(test_a_prompt_is_prefilled_once);
    CPPUNIT_TEST(test_generations_of_few_tokens_are_short);
    CPPUNIT_TEST(test_late_requests_rank_behind_timely_ones);
    CPPUNIT_TEST(test_late_requests_retry_less_often);
    CPPUNIT_TEST(test_a_short_deadline_shortens_the_wait);
    CPPUNIT_TEST(test_unread_tokens_are_bounded_by_the_objective);
    CPPUNIT_TEST(test_retry_after_is_as_long_as_the_wait);
    CPPUNIT_TEST_SUITE_END();

    // Latency objective 1.8 s, 39 s until the deadline.
    const wait_policy policy_{wait_policy::create(
        {at_ms(1000), at_ms(40000), std::chrono::milliseconds(1800), 2})};

    void test_expected_output_adds_a_margin_to_the_estimate()
    {
        const auto estimated = generation_size::create({3000, 1000, 400}, 0);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{500}, estimated.expected_output_tokens());
        const auto bounded = generation_size::create({3000, 450, 400}, 0);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{450}, bounded.expected_output_tokens());
        const auto unknown =
            generation_size::create({3000, 1000, std::nullopt}, 0);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{500}, unknown.expected_output_tokens());
    }

    void test_counted_growth_is_bounded()
    {
        const auto begun = generation_size::create({3000, 4000, 1600}, 100);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{3000 + 100 + 200}, begun.migrated_work().tokens);
        const auto ending = generation_size::create({3000, 4000, 1600}, 1900);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{3000 + 1900 + 100}, ending.migrated_work().tokens);
    }

    void test_a_run_beyond_its_estimate_still_counts_growth()
    {
        const auto overrunning =
            generation_size::create({3000, 4000, 400}, 2500);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, overrunning.remaining_tokens());
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{3000 + 2500 + 50},
            overrunning.migrated_work().tokens);
    }

    void test_a_prompt_is_prefilled_once()
    {
        const auto starting = generation_size::create({3000, 1000, 400}, 0);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{3000}, starting.work().unread_tokens);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0}, starting.migrated_work().unread_tokens);
        const auto writing = generation_size::create({3000, 1000, 400}, 4);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, writing.work().unread_tokens);
    }

    void test_generations_of_few_tokens_are_short()
    {
        CPPUNIT_ASSERT(generation_size::create({2200, 400, 50}, 0).is_short());
        CPPUNIT_ASSERT(!generation_size::create({2200, 400, 60}, 0).is_short());
    }

    void test_late_requests_rank_behind_timely_ones()
    {
        // 65% of the objective; the rest is needed for prefill.
        CPPUNIT_ASSERT(policy_.stage(at_ms(2169)) == wait_stage::timely);
        CPPUNIT_ASSERT(policy_.stage(at_ms(2170)) == wait_stage::late);
        CPPUNIT_ASSERT_EQUAL(2, policy_.rank(wait_stage::timely));
        const auto least_urgent = wait_policy::create(
            {at_ms(0), at_ms(40000), std::chrono::milliseconds(1800), 9});
        CPPUNIT_ASSERT(
            policy_.rank(wait_stage::late) >
            least_urgent.rank(wait_stage::timely));
        CPPUNIT_ASSERT(
            policy_.rank(wait_stage::late) <
            least_urgent.rank(wait_stage::late));
    }

    void test_late_requests_retry_less_often()
    {
        CPPUNIT_ASSERT(
            policy_.next_attempt(wait_stage::timely, at_ms(1500)) ==
            at_ms(1500));
        CPPUNIT_ASSERT(
            policy_.next_attempt(wait_stage::late, at_ms(2500)) == at_ms(2900));
    }

    void test_a_short_deadline_shortens_the_wait()
    {
        CPPUNIT_ASSERT(policy_.stage(at_ms(6759)) == wait_stage::late);
        CPPUNIT_ASSERT(policy_.stage(at_ms(6760)) == wait_stage::over);
        // Of 6 s, the time after 55% is left for the response.
        const auto short_deadline = wait_policy::create(
            {at_ms(0), at_ms(6000), std::chrono::milliseconds(1500), 0});
        CPPUNIT_ASSERT(short_deadline.stage(at_ms(3299)) == wait_stage::late);
        CPPUNIT_ASSERT(short_deadline.stage(at_ms(3300)) == wait_stage::over);
    }

    void test_unread_tokens_are_bounded_by_the_objective()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{7560}, policy_.max_unread_tokens(wait_stage::timely));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{12600}, policy_.max_unread_tokens(wait_stage::late));
    }

    void test_retry_after_is_as_long_as_the_wait()
    {
        CPPUNIT_ASSERT(
            policy_.retry_after(at_ms(1100)) == std::chrono::milliseconds(700));
        CPPUNIT_ASSERT(
            policy_.retry_after(at_ms(6760)) ==
            std::chrono::milliseconds(5760));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

} // namespace
