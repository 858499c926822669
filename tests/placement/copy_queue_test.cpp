#include <godwit/placement/copy_queue.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit::placement;

class copy_queue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(copy_queue_test);
    CPPUNIT_TEST(test_what_has_most_text_left_goes_first);
    CPPUNIT_TEST(test_equals_go_in_their_order);
    CPPUNIT_TEST(test_servers_have_lines_of_their_own);
    CPPUNIT_TEST(test_who_leaves_the_line_holds_up_nobody);
    CPPUNIT_TEST(test_a_copy_counts_by_what_it_saves_on_the_link);
    CPPUNIT_TEST_SUITE_END();

    const server_id first_{"i-1"};
    const server_id second_{"i-2"};
    copy_queue turns_;

    void test_what_has_most_text_left_goes_first()
    {
        const auto ending = turns_.enqueue(first_, 0.01);
        const auto begun = turns_.enqueue(first_, 0.30);
        const auto half = turns_.enqueue(first_, 0.10);
        CPPUNIT_ASSERT(!turns_.try_start(first_, ending));
        CPPUNIT_ASSERT(!turns_.try_start(first_, half));
        CPPUNIT_ASSERT(turns_.try_start(first_, begun));
        CPPUNIT_ASSERT(!turns_.try_start(first_, half));
        turns_.end(first_, begun);
        CPPUNIT_ASSERT(!turns_.try_start(first_, ending));
        CPPUNIT_ASSERT(turns_.try_start(first_, half));
    }

    void test_equals_go_in_their_order()
    {
        const auto earlier = turns_.enqueue(first_, 0.2);
        const auto later = turns_.enqueue(first_, 0.2);
        CPPUNIT_ASSERT(!turns_.try_start(first_, later));
        CPPUNIT_ASSERT(turns_.try_start(first_, earlier));
    }

    void test_servers_have_lines_of_their_own()
    {
        const auto here = turns_.enqueue(first_, 0.1);
        const auto there = turns_.enqueue(second_, 0.9);
        CPPUNIT_ASSERT(turns_.try_start(first_, here));
        CPPUNIT_ASSERT(turns_.try_start(second_, there));
    }

    void test_who_leaves_the_line_holds_up_nobody()
    {
        const auto gone = turns_.enqueue(first_, 0.9);
        const auto next = turns_.enqueue(first_, 0.1);
        turns_.end(first_, gone);
        CPPUNIT_ASSERT(!turns_.try_start(first_, gone));
        CPPUNIT_ASSERT(turns_.try_start(first_, next));
        turns_.end(first_, next);
        turns_.end(first_, next);
        CPPUNIT_ASSERT(!turns_.try_start(first_, next));
    }

    void test_a_copy_counts_by_what_it_saves_on_the_link()
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
