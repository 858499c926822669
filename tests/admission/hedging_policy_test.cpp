// Guards against second attempts of calls that must not have one, and of calls
// that take no longer than others of their route.

#include <godwit/admission/hedging_policy.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using godwit::admission::hedge_candidate;
using godwit::admission::hedging_policy;
using std::chrono::milliseconds;

class hedging_policy_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hedging_policy_test);
    CPPUNIT_TEST(test_few_calls_are_no_quantile);
    CPPUNIT_TEST(test_the_delay_exceeds_nearly_all_calls);
    CPPUNIT_TEST(test_old_calls_are_forgotten);
    CPPUNIT_TEST(test_only_late_calls_at_slow_servers_are_hedged);
    CPPUNIT_TEST(test_calls_without_attempts_left_are_not_hedged);
    CPPUNIT_TEST(test_the_number_of_routes_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    const std::string route_ = "again";
    hedging_policy policy_;

    void record(int count, int taken_ms)
    {
        for (; count > 0; --count)
            policy_.record(route_, milliseconds(taken_ms));
    }

    void test_few_calls_are_no_quantile()
    {
        record(19, 60);
        CPPUNIT_ASSERT(!policy_.delay(route_));
        record(1, 60);
        CPPUNIT_ASSERT(policy_.delay(route_) == milliseconds(60));
    }

    void test_the_delay_exceeds_nearly_all_calls()
    {
        record(95, 60);
        record(5, 150);
        CPPUNIT_ASSERT(policy_.delay(route_) == milliseconds(60));
        record(2, 150);
        CPPUNIT_ASSERT(policy_.delay(route_) == milliseconds(150));
    }

    void test_old_calls_are_forgotten()
    {
        record(200, 60);
        record(static_cast<int>(hedging_policy::window), 15);
        CPPUNIT_ASSERT(policy_.delay(route_) == milliseconds(15));
    }

    void test_only_late_calls_at_slow_servers_are_hedged()
    {
        record(100, 60);
        const hedge_candidate late{true, 1, 2, true, milliseconds(60)};
        CPPUNIT_ASSERT(policy_.should_hedge(route_, late));
        hedge_candidate other = late;
        other.age = milliseconds(59);
        CPPUNIT_ASSERT(!policy_.should_hedge(route_, other));
        other = late;
        other.is_stated_slow = false;
        CPPUNIT_ASSERT(!policy_.should_hedge(route_, other));
        CPPUNIT_ASSERT(!policy_.should_hedge("unknown", late));
    }

    void test_calls_without_attempts_left_are_not_hedged()
    {
        record(100, 60);
        hedge_candidate call{false, 1, 2, true, milliseconds(100)};
        CPPUNIT_ASSERT(!policy_.should_hedge(route_, call));
        call.is_idempotent = true;
        call.runs = 2;
        CPPUNIT_ASSERT(!policy_.should_hedge(route_, call));
    }

    void test_the_number_of_routes_is_bounded()
    {
        for (std::size_t route = 0; route < hedging_policy::max_routes; ++route)
            policy_.record(std::to_string(route), milliseconds(60));
        record(100, 60);
        CPPUNIT_ASSERT(!policy_.delay(route_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hedging_policy_test);

} // namespace
