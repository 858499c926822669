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

class decisions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(decisions_test);
    CPPUNIT_TEST(test_room_is_planned_beyond_the_guess);
    CPPUNIT_TEST(test_growth_is_counted_for_some_seconds_only);
    CPPUNIT_TEST(test_a_run_that_outlasts_its_guess_still_grows);
    CPPUNIT_TEST(test_a_prompt_is_read_once);
    CPPUNIT_TEST(test_few_tokens_are_short);
    CPPUNIT_TEST(test_what_is_late_waits_behind_what_can_be_in_time);
    CPPUNIT_TEST(test_late_requests_look_seldom);
    CPPUNIT_TEST(test_a_short_deadline_ends_the_waiting);
    CPPUNIT_TEST(test_unread_prompts_are_bounded_by_the_objective);
    CPPUNIT_TEST(test_callers_come_back_after_the_shortage);
    CPPUNIT_TEST_SUITE_END();

    // 1.8 s to the first event, 39 s in all.
    const wait_policy long_{wait_policy::create(
        {at_ms(1000), at_ms(40000), std::chrono::milliseconds(1800), 2})};

    void test_room_is_planned_beyond_the_guess()
    {
        const auto guessed = generation_size::create({3000, 1000, 400}, 0);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{500}, guessed.expected_output_tokens());
        const auto bounded = generation_size::create({3000, 450, 400}, 0);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{450}, bounded.expected_output_tokens());
        const auto unknown =
            generation_size::create({3000, 1000, std::nullopt}, 0);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{500}, unknown.expected_output_tokens());
    }

    void test_growth_is_counted_for_some_seconds_only()
    {
        const auto begun = generation_size::create({3000, 4000, 1600}, 100);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{3000 + 100 + 200}, begun.migrated_work().tokens);
        const auto ending = generation_size::create({3000, 4000, 1600}, 1900);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{3000 + 1900 + 100}, ending.migrated_work().tokens);
    }

    void test_a_run_that_outlasts_its_guess_still_grows()
    {
        const auto outlasting =
            generation_size::create({3000, 4000, 400}, 2500);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, outlasting.tokens_left());
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{3000 + 2500 + 50}, outlasting.migrated_work().tokens);
    }

    void test_a_prompt_is_read_once()
    {
        const auto starting = generation_size::create({3000, 1000, 400}, 0);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{3000}, starting.work().unread_tokens);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0}, starting.migrated_work().unread_tokens);
        const auto writing = generation_size::create({3000, 1000, 400}, 4);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, writing.work().unread_tokens);
    }

    void test_few_tokens_are_short()
    {
        CPPUNIT_ASSERT(generation_size::create({2200, 400, 50}, 0).is_short());
        CPPUNIT_ASSERT(!generation_size::create({2200, 400, 60}, 0).is_short());
    }

    void test_what_is_late_waits_behind_what_can_be_in_time()
    {
        // 65 of 100 of the objective, which leaves the rest for reading.
        CPPUNIT_ASSERT(long_.stage(at_ms(2169)) == wait_stage::timely);
        CPPUNIT_ASSERT(long_.stage(at_ms(2170)) == wait_stage::late);
        CPPUNIT_ASSERT_EQUAL(2, long_.rank(wait_stage::timely));
        const auto least_urgent = wait_policy::create(
            {at_ms(0), at_ms(40000), std::chrono::milliseconds(1800), 9});
        CPPUNIT_ASSERT(
            long_.rank(wait_stage::late) >
            least_urgent.rank(wait_stage::timely));
        CPPUNIT_ASSERT(
            long_.rank(wait_stage::late) < least_urgent.rank(wait_stage::late));
    }

    void test_late_requests_look_seldom()
    {
        CPPUNIT_ASSERT(
            long_.next_attempt(wait_stage::timely, at_ms(1500)) == at_ms(1500));
        CPPUNIT_ASSERT(
            long_.next_attempt(wait_stage::late, at_ms(2500)) == at_ms(2900));
    }

    void test_a_short_deadline_ends_the_waiting()
    {
        CPPUNIT_ASSERT(long_.stage(at_ms(6759)) == wait_stage::late);
        CPPUNIT_ASSERT(long_.stage(at_ms(6760)) == wait_stage::over);
        // Of 6 s, what is left after 55 of 100 is for the answer.
        const auto brief = wait_policy::create(
            {at_ms(0), at_ms(6000), std::chrono::milliseconds(1500), 0});
        CPPUNIT_ASSERT(brief.stage(at_ms(3299)) == wait_stage::late);
        CPPUNIT_ASSERT(brief.stage(at_ms(3300)) == wait_stage::over);
    }

    void test_unread_prompts_are_bounded_by_the_objective()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{7560}, long_.max_unread_tokens(wait_stage::timely));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{12600}, long_.max_unread_tokens(wait_stage::late));
    }

    void test_callers_come_back_after_the_shortage()
    {
        CPPUNIT_ASSERT(
            long_.retry_after(at_ms(1100)) == std::chrono::milliseconds(700));
        CPPUNIT_ASSERT(
            long_.retry_after(at_ms(6760)) == std::chrono::milliseconds(5760));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(decisions_test);

} // namespace
