// Guards against engine speeds that one stalled stream, or a neighbour's wrong
// value, makes too slow or too fast.

#include <godwit/admission/engine_speed_estimator.hpp>
#include <godwit/admission/wait_policy.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <limits>

namespace {

using namespace godwit;
using namespace godwit::admission;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

class engine_speed_estimator_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(engine_speed_estimator_test);
    CPPUNIT_TEST(test_the_usual_speeds_apply_without_observations);
    CPPUNIT_TEST(test_outliers_do_not_count);
    CPPUNIT_TEST(test_speeds_are_bounded);
    CPPUNIT_TEST(test_observations_expire);
    CPPUNIT_TEST(test_neighbours_observations_count);
    CPPUNIT_TEST(test_malformed_speeds_are_refused);
    CPPUNIT_TEST(test_the_prefill_rate_bounds_unread_tokens);
    CPPUNIT_TEST_SUITE_END();

    static void
    record(engine_speed_estimator& to, int count, double step, int rate)
    {
        for (int each = 0; each < count; ++each) {
            to.record_step(step, at_ms(0));
            to.record_first_event(
                static_cast<std::uint64_t>(rate) * 100,
                std::chrono::milliseconds(100),
                at_ms(0));
        }
    }

    void test_the_usual_speeds_apply_without_observations()
    {
        engine_speed_estimator estimator;
        record(estimator, 4, 20, 14);
        CPPUNIT_ASSERT_EQUAL(10.0, estimator.step_ms(at_ms(0)));
        CPPUNIT_ASSERT_EQUAL(7.0, estimator.prefill_tokens_per_ms(at_ms(0)));
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{200}, estimator.soon_tokens(at_ms(0)));
        // A prompt that nothing was known about says nothing.
        estimator.record_first_event(0, std::chrono::seconds(1), at_ms(0));
        estimator.record_first_event(500, core::duration::zero(), at_ms(0));
        CPPUNIT_ASSERT_EQUAL(7.0, estimator.prefill_tokens_per_ms(at_ms(0)));
    }

    void test_outliers_do_not_count()
    {
        engine_speed_estimator estimator;
        record(estimator, 6, 20, 14);
        record(estimator, 5, 2000, 1);
        CPPUNIT_ASSERT_EQUAL(20.0, estimator.step_ms(at_ms(0)));
        CPPUNIT_ASSERT_EQUAL(14.0, estimator.prefill_tokens_per_ms(at_ms(0)));
    }

    void test_speeds_are_bounded()
    {
        engine_speed_estimator slow;
        record(slow, 10, 5000, 1);
        CPPUNIT_ASSERT_EQUAL(40.0, slow.step_ms(at_ms(0)));
        CPPUNIT_ASSERT_EQUAL(1.75, slow.prefill_tokens_per_ms(at_ms(0)));
        engine_speed_estimator fast;
        record(fast, 10, 0.01, 9000);
        CPPUNIT_ASSERT_EQUAL(2.5, fast.step_ms(at_ms(0)));
        CPPUNIT_ASSERT_EQUAL(28.0, fast.prefill_tokens_per_ms(at_ms(0)));
    }

    void test_observations_expire()
    {
        engine_speed_estimator estimator;
        record(estimator, 10, 20, 14);
        CPPUNIT_ASSERT_EQUAL(10.0, estimator.step_ms(at_ms(2000)));
        CPPUNIT_ASSERT_EQUAL(
            7.0, estimator.prefill_tokens_per_ms(at_ms(10'000)));
    }

    void test_neighbours_observations_count()
    {
        engine_speed_estimator estimator;
        record(estimator, 2, 10, 7);
        const auto reported = engine_speeds::create({14, 30}, {20, 30});
        CPPUNIT_ASSERT(reported);
        estimator.update_from_neighbour(
            core::host_name("n0"), *reported, at_ms(0));
        CPPUNIT_ASSERT_EQUAL(20.0, estimator.step_ms(at_ms(0)));
        CPPUNIT_ASSERT_EQUAL(14.0, estimator.prefill_tokens_per_ms(at_ms(0)));
        CPPUNIT_ASSERT_EQUAL(10.0, estimator.step_ms(at_ms(2000)));
    }

    void test_malformed_speeds_are_refused()
    {
        CPPUNIT_ASSERT(engine_speeds::create({}, {}));
        for (const double wrong :
             {-1.0,
              0.0,
              1e9,
              std::numeric_limits<double>::infinity(),
              std::numeric_limits<double>::quiet_NaN()}) {
            CPPUNIT_ASSERT(!engine_speeds::create({wrong, 5}, {}));
            CPPUNIT_ASSERT(!engine_speeds::create({}, {wrong, 5}));
        }
        CPPUNIT_ASSERT(!engine_speeds::create({7, 4'000'000'000}, {}));
    }

    void test_the_prefill_rate_bounds_unread_tokens()
    {
        const auto observed = wait_policy::create(
            {at_ms(0), at_ms(40000), std::chrono::milliseconds(1000), 2, 14});
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{8400},
            observed.max_unread_tokens(wait_stage::timely));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_speed_estimator_test);

} // namespace
