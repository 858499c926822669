// Guards against refusals without evidence, and against reports and retries
// that count for too long.

#include <godwit/admission/caller_stay.hpp>
#include <godwit/admission/start_predictor.hpp>
#include <godwit/admission/wait_policy.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::admission;
using std::chrono::milliseconds;
using std::chrono::seconds;

core::time_point at_ms(int count)
{
    return core::time_point(std::chrono::milliseconds(count));
}

const core::service_name lm("lm");
const core::host_name neighbour("h2");
const work_amount stream{1, 3000};
const int order = queue_order_of(2, retry_kind::none);

class start_predictor_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(start_predictor_test);
    CPPUNIT_TEST(test_few_starts_predict_nothing);
    CPPUNIT_TEST(test_the_wait_is_the_queue_by_the_start_rate);
    CPPUNIT_TEST(test_nobody_is_refused_without_others_ahead);
    CPPUNIT_TEST(test_the_first_late_stream_is_kept);
    CPPUNIT_TEST(test_a_neighbour_counts_for_one_second);
    CPPUNIT_TEST(test_a_retry_is_claimed_once_and_not_early);
    CPPUNIT_TEST(test_announced_retries_are_bounded);
    CPPUNIT_TEST(test_the_correction_is_bounded);
    CPPUNIT_TEST(test_callers_stay_for_the_longest_gap);
    CPPUNIT_TEST_SUITE_END();

    start_predictor predictor_;

    // Ten streams a second in the last two seconds before 2000 ms.
    void record_starts(int count)
    {
        for (int number = 0; number < count; ++number)
            predictor_.own().record_start(
                lm, order, stream, at_ms(100 * (number % 20)));
    }

    void add_waiting(int count)
    {
        for (int number = 0; number < count; ++number)
            predictor_.own().add_waiting(lm, order, stream);
    }

    [[nodiscard]] start_decision decide(core::time_point now) const
    {
        return predictor_.decide(
            {lm,
             2,
             2 + wait_policy::late_rank_offset,
             retry_kind::none,
             true,
             {},
             milliseconds(2600),
             seconds(16)},
            now,
            0);
    }

    static announced_retry retry(const std::string& name, int due_ms)
    {
        return {request_fingerprint(name), lm, order, 3000, at_ms(due_ms)};
    }

    void test_few_starts_predict_nothing()
    {
        record_starts(7);
        add_waiting(1000);
        CPPUNIT_ASSERT(decide(at_ms(1999)) == start_decision());
    }

    void test_the_wait_is_the_queue_by_the_start_rate()
    {
        record_starts(20);
        add_waiting(20);
        const start_decision kept = decide(at_ms(1999));
        CPPUNIT_ASSERT(kept.wait == core::duration(seconds(2)));
        CPPUNIT_ASSERT(!kept.retry_after);
        add_waiting(300);
        const start_decision refused = decide(at_ms(1999));
        CPPUNIT_ASSERT(refused.wait == core::duration(seconds(32)));
        CPPUNIT_ASSERT(refused.retry_after == start_predictor::max_retry_after);
    }

    void test_nobody_is_refused_without_others_ahead()
    {
        record_starts(20);
        const start_decision decision = decide(at_ms(1999));
        CPPUNIT_ASSERT(decision.wait == core::duration());
        CPPUNIT_ASSERT(!decision.retry_after);
    }

    // Also a late one, in an overload that has lasted longer than callers stay.
    void test_the_first_late_stream_is_kept()
    {
        for (int ms = 0; ms <= 20000; ms += 100) {
            for (int number = 0; number < 3; ++number)
                predictor_.own().record_arrival(lm, order, stream, at_ms(ms));
            predictor_.own().record_start(lm, order, stream, at_ms(ms));
            add_waiting(1);
            predictor_.expire(at_ms(ms));
            predictor_.own().remove_waiting(lm, order, stream);
        }
        const start_decision decision = predictor_.decide(
            {lm,
             2,
             2 + wait_policy::late_rank_offset,
             retry_kind::none,
             false,
             {},
             {},
             seconds(10)},
            at_ms(20000),
            0);
        CPPUNIT_ASSERT(decision.wait == core::duration());
        CPPUNIT_ASSERT(!decision.retry_after);
    }

    void test_a_neighbour_counts_for_one_second()
    {
        record_starts(20);
        predictor_.neighbours().update(
            neighbour, {{lm, {{order, {{20, 60000}, {}, {}}}}}}, at_ms(1000));
        CPPUNIT_ASSERT(decide(at_ms(1999)).wait == core::duration(seconds(2)));
        CPPUNIT_ASSERT(decide(at_ms(2000)).wait == core::duration());
    }

    void test_a_retry_is_claimed_once_and_not_early()
    {
        auto& retries = predictor_.retries();
        CPPUNIT_ASSERT(retries.announce(retry("a", 1000), at_ms(0)));
        const request_fingerprint request("a");
        CPPUNIT_ASSERT(!retries.claim(request, at_ms(900)));
        CPPUNIT_ASSERT(retries.claim(request, at_ms(1000)));
        CPPUNIT_ASSERT(!retries.claim(request, at_ms(1000)));
        CPPUNIT_ASSERT(retries.announce(retry("b", 1000), at_ms(0)));
        CPPUNIT_ASSERT(!retries.claim(request_fingerprint("b"), at_ms(3001)));
    }

    void test_announced_retries_are_bounded()
    {
        auto& retries = predictor_.retries();
        for (int number = 0; number < 1000; ++number)
            [[maybe_unused]] const bool is_kept =
                retries.announce(retry(std::to_string(number), 1000), at_ms(0));
        CPPUNIT_ASSERT_EQUAL(announced_retries::max_retries, retries.size());
        retries.expire(at_ms(3001));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, retries.size());
    }

    void test_the_correction_is_bounded()
    {
        for (int count = 0; count < 1000; ++count)
            predictor_.record_wait(lm, seconds(1), seconds(100));
        CPPUNIT_ASSERT_EQUAL(2.0, predictor_.correction_of(lm).factor());
        for (int count = 0; count < 1000; ++count)
            predictor_.record_wait(lm, seconds(1), core::duration());
        CPPUNIT_ASSERT_EQUAL(0.5, predictor_.correction_of(lm).factor());
    }

    void test_callers_stay_for_the_longest_gap()
    {
        const stay_parameters parameters{
            at_ms(0), at_ms(39000), seconds(4), milliseconds(180), {}};
        CPPUNIT_ASSERT(latest_start(parameters) == at_ms(16000));
        stay_parameters hasty = parameters;
        hasty.objective = milliseconds(100);
        CPPUNIT_ASSERT(latest_start(hasty) == at_ms(2000));
        stay_parameters sized = parameters;
        sized.deadline = at_ms(6000);
        // 700 tokens to prefill take 100 ms, and 125 to write 1750 ms.
        sized.size = generation_size::create({700, 125, 125}, 0);
        CPPUNIT_ASSERT(latest_start(sized) == at_ms(4150));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(start_predictor_test);

} // namespace
