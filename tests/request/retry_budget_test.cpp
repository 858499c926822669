#include <godwit/request/explain_ring.hpp>
#include <godwit/request/retry_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit::request;
using godwit::core::time_point;
using std::chrono::seconds;

class retry_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(retry_budget_test);
    CPPUNIT_TEST(test_share_of_first_attempts);
    CPPUNIT_TEST(test_floor_without_traffic);
    CPPUNIT_TEST(test_bad_settings_are_refused);
    CPPUNIT_TEST(test_ring_keeps_the_latest);
    CPPUNIT_TEST_SUITE_END();

    static int spend_all(retry_budget& budget, time_point now)
    {
        int spent = 0;
        while (budget.try_spend(now))
            ++spent;
        return spent;
    }

    void test_share_of_first_attempts()
    {
        const time_point now;
        auto budget = retry_budget::create({0.125, 0, 20}, now).value();
        for (int request = 0; request < 80; ++request)
            budget.deposit(now);
        CPPUNIT_ASSERT_EQUAL(10, spend_all(budget, now));
        for (int request = 0; request < 1000; ++request)
            budget.deposit(now);
        CPPUNIT_ASSERT_EQUAL(20, spend_all(budget, now));
    }

    void test_floor_without_traffic()
    {
        time_point now;
        auto budget = retry_budget::create({0.1, 2, 20}, now).value();
        CPPUNIT_ASSERT_EQUAL(2, spend_all(budget, now));
        now += seconds(1);
        CPPUNIT_ASSERT_EQUAL(2, spend_all(budget, now));
        now += seconds(100);
        CPPUNIT_ASSERT_EQUAL(2, spend_all(budget, now));
    }

    void test_bad_settings_are_refused()
    {
        CPPUNIT_ASSERT(!retry_budget::create({1.5, 0, 1}, {}));
        CPPUNIT_ASSERT(!retry_budget::create({0.1, -1, 1}, {}));
        CPPUNIT_ASSERT(!retry_budget::create({0.1, 0, 0}, {}));
    }

    void test_ring_keeps_the_latest()
    {
        auto ring = explain_ring::create(3).value();
        for (std::uint64_t number = 0; number < 5; ++number) {
            decision_record record;
            record.request = godwit::core::request_id("r");
            record.delivered = number;
            ring.add(record);
        }
        const auto story = ring.story_of(godwit::core::request_id("r"));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), story.size());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), story.front().delivered);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), story.back().delivered);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_budget_test);

} // namespace
