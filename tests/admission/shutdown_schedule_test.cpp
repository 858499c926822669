#include <godwit/admission/shutdown_schedule.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace godwit;
using admission::planned_run;
using admission::shutdown_schedule;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr core::duration grace = seconds(8);

class shutdown_schedule_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(shutdown_schedule_test);
    CPPUNIT_TEST(test_responses_are_due_before_the_end);
    CPPUNIT_TEST(test_a_short_grace_keeps_the_order);
    CPPUNIT_TEST(test_a_run_begins_only_with_twice_its_time);
    CPPUNIT_TEST(test_a_long_stream_is_not_begun_at_all);
    CPPUNIT_TEST(test_a_stream_of_unknown_length_begins_early_only);
    CPPUNIT_TEST_SUITE_END();

    const core::time_point begun_at_{seconds(100)};
    const shutdown_schedule schedule_ =
        shutdown_schedule::create(begun_at_, grace);

    // Guards against a process that is killed before it has responded.
    void test_responses_are_due_before_the_end()
    {
        CPPUNIT_ASSERT(schedule_.accept_end() < schedule_.response_end());
        CPPUNIT_ASSERT(schedule_.response_end() < schedule_.end());
        CPPUNIT_ASSERT(schedule_.end() < begun_at_ + grace);
    }

    // Guards against times before the signal.
    void test_a_short_grace_keeps_the_order()
    {
        const auto schedule =
            shutdown_schedule::create(begun_at_, milliseconds(100));
        CPPUNIT_ASSERT(begun_at_ <= schedule.accept_end());
        CPPUNIT_ASSERT(begun_at_ <= schedule.response_end());
        CPPUNIT_ASSERT(schedule.response_end() <= schedule.end());
    }

    // Guards against runs that the end cuts since they are slower than usual.
    void test_a_run_begins_only_with_twice_its_time()
    {
        const planned_run call{.objective = milliseconds(150)};
        const core::time_point latest =
            schedule_.response_end() - milliseconds(300);
        CPPUNIT_ASSERT(schedule_.latest_begin(call) == latest);
        CPPUNIT_ASSERT(schedule_.may_begin(call, latest));
        CPPUNIT_ASSERT(!schedule_.may_begin(call, latest + milliseconds(1)));
    }

    // Guards against streams of 10 s that begin with 8 s left.
    void test_a_long_stream_is_not_begun_at_all()
    {
        const planned_run stream{
            .objective = milliseconds(1800),
            .output_tokens = 940,
            .is_stream = true};
        CPPUNIT_ASSERT(!schedule_.may_begin(stream, begun_at_));
    }

    // Guards against cutting a stream that came when the load balancer sent no
    // more connections.
    void test_a_stream_of_unknown_length_begins_early_only()
    {
        const planned_run stream{
            .objective = milliseconds(500), .is_stream = true};
        CPPUNIT_ASSERT(schedule_.may_begin(stream, schedule_.accept_end()));
        CPPUNIT_ASSERT(!schedule_.may_begin(
            stream, schedule_.accept_end() + milliseconds(1)));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_schedule_test);
