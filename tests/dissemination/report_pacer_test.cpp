#include <godwit/dissemination/report_pacer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace godwit;
using dissemination::report_pacer;
using std::chrono::milliseconds;

class report_pacer_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(report_pacer_test);
    CPPUNIT_TEST(test_a_report_is_sent_at_once);
    CPPUNIT_TEST(test_reports_stay_within_the_rate);
    CPPUNIT_TEST(test_large_reports_are_sent_each_second);
    CPPUNIT_TEST(test_an_unbounded_rate_never_waits);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double rate = 10'000;
    const core::time_point start_{std::chrono::hours(1)};
    report_pacer pacer_;

    /// Returns how many reports of this size are sent within `span`.
    std::size_t send_for(core::duration span, std::size_t bytes, double limit)
    {
        std::size_t sent = 0;
        for (core::time_point now = start_; now < start_ + span;
             now += milliseconds(1)) {
            if (!pacer_.may_send(now))
                continue;
            pacer_.record_sent(bytes, limit, now);
            ++sent;
        }
        return sent;
    }

    void test_a_report_is_sent_at_once()
    {
        CPPUNIT_ASSERT(pacer_.may_send(start_));
        pacer_.record_sent(100, rate, start_);
        CPPUNIT_ASSERT(pacer_.may_send(start_));
    }

    void test_reports_stay_within_the_rate()
    {
        constexpr std::size_t bytes = 500;
        const std::size_t sent =
            send_for(std::chrono::seconds(10), bytes, rate);
        // Ten seconds, what is saved up, and the report that overdraws it.
        CPPUNIT_ASSERT(sent * bytes <= 103'000);
        CPPUNIT_ASSERT(sent * bytes >= 99'000);
    }

    void test_large_reports_are_sent_each_second()
    {
        const std::size_t sent =
            send_for(std::chrono::seconds(10), 1'000'000, rate);
        CPPUNIT_ASSERT(sent >= 10);
        CPPUNIT_ASSERT(sent <= 14);
    }

    void test_an_unbounded_rate_never_waits()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{100}, send_for(milliseconds(100), 1'000'000, 0));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(report_pacer_test);

} // namespace
