#include <godwit/platform/append_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using platform::append_budget;

namespace {

constexpr core::time_point start{};
constexpr auto fifth_of_a_second = std::chrono::milliseconds(200);

class append_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(append_budget_test);
    CPPUNIT_TEST(test_all_hosts_leave_the_operators_share);
    CPPUNIT_TEST(test_append_succeeds_after_the_wait);
    CPPUNIT_TEST(test_options_out_of_range);
    CPPUNIT_TEST_SUITE_END();

    static int take_all(append_budget& budget, core::time_point now)
    {
        int count = 0;
        while (budget.take(now))
            ++count;
        return count;
    }

    void test_all_hosts_leave_the_operators_share()
    {
        auto budget =
            append_budget::create(
                {.log_rate = 300, .operators_share = 0.2, .burst = 20}, start)
                .value();
        budget.set_hosts(6, start);
        CPPUNIT_ASSERT_EQUAL(20, take_all(budget, start));
        // 300 less a fifth, shared by six hosts: 40 per second for 10 s.
        int later = 0;
        for (int tenth = 1; tenth <= 100; ++tenth)
            later += take_all(
                budget, start + std::chrono::milliseconds(100) * tenth);
        CPPUNIT_ASSERT_EQUAL(400, later);
    }

    void test_append_succeeds_after_the_wait()
    {
        auto budget =
            append_budget::create(
                {.log_rate = 10, .operators_share = 0.5, .burst = 1}, start)
                .value();
        CPPUNIT_ASSERT(budget.take(start));
        const auto wait = budget.wait(start);
        // Rounded up to the clock's resolution of a microsecond.
        CPPUNIT_ASSERT(wait >= fifth_of_a_second);
        CPPUNIT_ASSERT(wait <= fifth_of_a_second + core::duration(1));
        CPPUNIT_ASSERT(!budget.take(start + wait / 2));
        CPPUNIT_ASSERT(budget.take(start + wait));
    }

    void test_options_out_of_range()
    {
        CPPUNIT_ASSERT(!append_budget::create({.operators_share = 1}, start));
        CPPUNIT_ASSERT(!append_budget::create({.log_rate = 0}, start));
        CPPUNIT_ASSERT(!append_budget::create({.hosts = 0}, start));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(append_budget_test);

} // namespace
