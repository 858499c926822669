#include "scheduler_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit;
using namespace std::chrono_literals;

class preemption_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(preemption_test);
    CPPUNIT_TEST(test_priority_rises_and_is_protected_after_the_second);
    CPPUNIT_TEST(test_nothing_fresh_before_the_pushed_off);
    CPPUNIT_TEST(test_restarted_goes_before_fresh);
    CPPUNIT_TEST(test_fresh_never_has_the_protected_priority);
    CPPUNIT_TEST_SUITE_END();

    static dispatch::generation_preempted preempted(std::uint32_t count)
    {
        return {.id = core::request_id("1"), .count = count};
    }

    void test_priority_rises_and_is_protected_after_the_second()
    {
        scheduler_fixture fixture;
        fixture.engines(1, 1000000);
        fixture.arrive("1", "org");
        const int fresh = fixture.started[0].priority;
        fixture.tell(preempted(1));
        CPPUNIT_ASSERT(fixture.raised[0].priority > fresh);
        CPPUNIT_ASSERT(fixture.raised[0].priority < 9);
        // The same event again is not another preemption.
        fixture.tell(preempted(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.raised.size());
        fixture.tell(preempted(2));
        CPPUNIT_ASSERT_EQUAL(9, fixture.raised[1].priority);
    }

    void test_nothing_fresh_before_the_pushed_off()
    {
        scheduler_fixture fixture;
        fixture.engines(1, 1000000);
        fixture.arrive("1", "org");
        fixture.tokens("1", 5);
        fixture.tell(preempted(1));
        fixture.arrive("2", "org");
        CPPUNIT_ASSERT(!fixture.is_started("2"));
        fixture.tokens("1", 1);
        CPPUNIT_ASSERT(fixture.is_started("2"));
    }

    void test_restarted_goes_before_fresh()
    {
        scheduler_fixture fixture;
        fixture.engines(1, 1000000, 1);
        for (const char* const id : {"1", "2", "3"})
            fixture.arrive(id, "org");
        auto restarted = scheduler_fixture::request("again", "org");
        restarted.times_preempted = 2;
        fixture.tell(restarted);
        fixture.end("1");
        CPPUNIT_ASSERT(fixture.started.back().id == core::request_id("again"));
        CPPUNIT_ASSERT_EQUAL(9, fixture.started.back().priority);
    }

    void test_fresh_never_has_the_protected_priority()
    {
        scheduler_fixture fixture;
        dispatch::policy_changed policy;
        dispatch::class_policy limits;
        limits.name = core::request_class_name("urgent");
        limits.priority = 50;
        policy.value.classes = {limits};
        fixture.tell(policy);
        fixture.engines(1, 1000000);
        fixture.arrive("1", "org", "urgent");
        CPPUNIT_ASSERT_EQUAL(8, fixture.started[0].priority);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(preemption_test);

} // namespace
