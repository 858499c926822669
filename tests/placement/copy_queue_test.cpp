#include <godwit/placement/copy_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit::placement;

class copy_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(copy_queue_test);
    CPPUNIT_TEST(test_the_highest_priority_is_copied_first);
    CPPUNIT_TEST(test_equal_priorities_are_copied_in_order);
    CPPUNIT_TEST(test_servers_have_separate_queues);
    CPPUNIT_TEST(test_a_cancelled_copy_does_not_block_others);
    CPPUNIT_TEST(test_priority_is_output_saved_per_copied_token);
    CPPUNIT_TEST_SUITE_END();

    const server_id first_{"i-1"};
    const server_id second_{"i-2"};
    copy_queue queue_;

    void test_the_highest_priority_is_copied_first()
    {
        const auto nearly_done = queue_.enqueue(first_, 0.01);
        const auto just_started = queue_.enqueue(first_, 0.30);
        const auto half_done = queue_.enqueue(first_, 0.10);
        CPPUNIT_ASSERT(!queue_.try_start(first_, nearly_done));
        CPPUNIT_ASSERT(!queue_.try_start(first_, half_done));
        CPPUNIT_ASSERT(queue_.try_start(first_, just_started));
        CPPUNIT_ASSERT(!queue_.try_start(first_, half_done));
        queue_.finish(first_, just_started);
        CPPUNIT_ASSERT(!queue_.try_start(first_, nearly_done));
        CPPUNIT_ASSERT(queue_.try_start(first_, half_done));
    }

    void test_equal_priorities_are_copied_in_order()
    {
        const auto earlier = queue_.enqueue(first_, 0.2);
        const auto later = queue_.enqueue(first_, 0.2);
        CPPUNIT_ASSERT(!queue_.try_start(first_, later));
        CPPUNIT_ASSERT(queue_.try_start(first_, earlier));
    }

    void test_servers_have_separate_queues()
    {
        const auto here = queue_.enqueue(first_, 0.1);
        const auto there = queue_.enqueue(second_, 0.9);
        CPPUNIT_ASSERT(queue_.try_start(first_, here));
        CPPUNIT_ASSERT(queue_.try_start(second_, there));
    }

    void test_a_cancelled_copy_does_not_block_others()
    {
        const auto cancelled = queue_.enqueue(first_, 0.9);
        const auto next = queue_.enqueue(first_, 0.1);
        queue_.finish(first_, cancelled);
        CPPUNIT_ASSERT(!queue_.try_start(first_, cancelled));
        CPPUNIT_ASSERT(queue_.try_start(first_, next));
        queue_.finish(first_, next);
        queue_.finish(first_, next);
        CPPUNIT_ASSERT(!queue_.try_start(first_, next));
    }

    void test_priority_is_output_saved_per_copied_token()
    {
        const work_size small{1, 2000, 0, 0};
        const work_size large{1, 6000, 0, 0};
        CPPUNIT_ASSERT(copy_priority(500, small) > copy_priority(500, large));
        CPPUNIT_ASSERT(copy_priority(500, small) > copy_priority(100, small));
        CPPUNIT_ASSERT_EQUAL(0.0, copy_priority(0, work_size()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(copy_queue_test);

} // namespace
