// Guards against new runs that a route, a deadline or a stop does not permit,
// and against events that a new run repeats or leaves out.

#include <godwit/admission/resumption_policy.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstdint>

namespace {

using namespace godwit;
using admission::event_sequence;
using admission::interrupted_run;
using admission::resumption_verdict;

class resumption_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(resumption_policy_test);
    CPPUNIT_TEST(test_each_condition_forbids_a_new_run);
    CPPUNIT_TEST(test_events_are_delivered_once_and_in_order);
    CPPUNIT_TEST(test_ids_with_steps_show_no_gap);
    CPPUNIT_TEST_SUITE_END();

    const core::time_point now_{std::chrono::seconds(100)};

    [[nodiscard]] interrupted_run permitted() const
    {
        return {
            .is_resumable = true,
            .runs = 1,
            .max_runs = 2,
            .deadline = now_ + std::chrono::seconds(1)};
    }

    void test_each_condition_forbids_a_new_run()
    {
        CPPUNIT_ASSERT(
            judge_resumption(permitted(), now_) == resumption_verdict::allowed);
        auto run = permitted();
        run.is_resumable = false;
        CPPUNIT_ASSERT(
            judge_resumption(run, now_) == resumption_verdict::not_resumable);
        run = permitted();
        run.is_position_known = false;
        CPPUNIT_ASSERT(
            judge_resumption(run, now_) ==
            resumption_verdict::position_unknown);
        run = permitted();
        run.runs = 2;
        CPPUNIT_ASSERT(
            judge_resumption(run, now_) == resumption_verdict::no_runs_left);
        CPPUNIT_ASSERT(
            judge_resumption(permitted(), permitted().deadline) ==
            resumption_verdict::no_time_left);
        run = permitted();
        run.is_host_stopping = true;
        CPPUNIT_ASSERT(
            judge_resumption(run, now_) == resumption_verdict::host_stopping);
    }

    void test_events_are_delivered_once_and_in_order()
    {
        event_sequence sequence;
        CPPUNIT_ASSERT(!sequence.has_last());
        CPPUNIT_ASSERT(sequence.accept(0) == event_sequence::verdict::deliver);
        CPPUNIT_ASSERT(sequence.accept(1) == event_sequence::verdict::deliver);
        CPPUNIT_ASSERT(sequence.accept(1) == event_sequence::verdict::repeated);
        CPPUNIT_ASSERT(sequence.accept(3) == event_sequence::verdict::gap);
        event_sequence later;
        later.start_after(7);
        CPPUNIT_ASSERT(later.accept(7) == event_sequence::verdict::repeated);
        CPPUNIT_ASSERT(later.accept(8) == event_sequence::verdict::deliver);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, later.last());
    }

    void test_ids_with_steps_show_no_gap()
    {
        event_sequence sequence;
        for (const std::uint64_t id : {4, 8, 12})
            CPPUNIT_ASSERT(
                sequence.accept(id) == event_sequence::verdict::deliver);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resumption_policy_test);

} // namespace
