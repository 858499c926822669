#include "scheduler_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit;
using namespace std::chrono_literals;

class scheduler_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(scheduler_test);
    CPPUNIT_TEST(test_starts_at_once_with_room);
    CPPUNIT_TEST(test_unknown_and_doubled_events_are_ignored);
    CPPUNIT_TEST_SUITE_END();

    void test_starts_at_once_with_room()
    {
        scheduler_fixture fixture;
        fixture.engines(2, 10000);
        fixture.arrive("r1", "org");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.started.size());
        CPPUNIT_ASSERT(fixture.refused.empty());
    }

    void test_unknown_and_doubled_events_are_ignored()
    {
        scheduler_fixture fixture;
        fixture.engines(1, 10000);
        const core::request_id unknown("nobody");
        fixture.tell(dispatch::request_left{unknown});
        fixture.tell(dispatch::request_started{unknown});
        fixture.tell(dispatch::start_failed{unknown});
        fixture.tokens("nobody", 5);
        fixture.tell(dispatch::generation_preempted{unknown, 1});
        fixture.tell(
            dispatch::generation_ended{unknown, dispatch::end_reason::stop});
        fixture.arrive("r1", "org");
        fixture.arrive("r1", "org");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.started.size());
        fixture.tell(dispatch::request_left{core::request_id("r1")});
        fixture.end("r1");
        fixture.end("r1");
        const auto state = fixture.decisions.state();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state.requests);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state.organisations);
        CPPUNIT_ASSERT_EQUAL(
            0U, state.services.front().servers.front().own_running);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(scheduler_test);

} // namespace
