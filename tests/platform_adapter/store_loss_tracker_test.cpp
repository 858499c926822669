// Guards against a long poll that is waited for although the calls beside it
// show that the store lost its response.

#include <godwit/platform_adapter/store_loss_tracker.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace godwit;
using platform_adapter::store_loss_tracker;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

class store_loss_tracker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_loss_tracker_test);
    CPPUNIT_TEST(test_calls_before_the_first_success_may_be_lost);
    CPPUNIT_TEST(test_nothing_is_lost_without_a_failure);
    CPPUNIT_TEST(test_a_response_to_an_earlier_call_shows_no_recovery);
    CPPUNIT_TEST(test_a_reported_call_that_fails_later_shows_nothing_new);
    CPPUNIT_TEST(test_each_outage_is_reported);
    CPPUNIT_TEST_SUITE_END();

    store_loss_tracker tracker_;

    void test_calls_before_the_first_success_may_be_lost()
    {
        tracker_.record_failure(at_ms(1000), at_ms(3000));
        tracker_.record_failure(at_ms(3200), at_ms(4700));
        CPPUNIT_ASSERT(tracker_.record_success(at_ms(4900)) == at_ms(4900));
        CPPUNIT_ASSERT(!tracker_.record_success(at_ms(5000)));
    }

    void test_nothing_is_lost_without_a_failure()
    {
        CPPUNIT_ASSERT(!tracker_.record_success(at_ms(0)));
        CPPUNIT_ASSERT(!tracker_.record_success(at_ms(1000)));
    }

    void test_a_response_to_an_earlier_call_shows_no_recovery()
    {
        tracker_.record_failure(at_ms(1000), at_ms(3000));
        CPPUNIT_ASSERT(!tracker_.record_success(at_ms(2900)));
        CPPUNIT_ASSERT(tracker_.record_success(at_ms(3000)) == at_ms(3000));
    }

    // Otherwise the reads that were made again would be given up once more.
    void test_a_reported_call_that_fails_later_shows_nothing_new()
    {
        tracker_.record_failure(at_ms(1000), at_ms(3000));
        CPPUNIT_ASSERT(tracker_.record_success(at_ms(3200)) == at_ms(3200));
        tracker_.record_failure(at_ms(900), at_ms(11900));
        CPPUNIT_ASSERT(!tracker_.record_success(at_ms(12000)));
    }

    void test_each_outage_is_reported()
    {
        tracker_.record_failure(at_ms(1000), at_ms(3000));
        CPPUNIT_ASSERT(tracker_.record_success(at_ms(3200)) == at_ms(3200));
        tracker_.record_failure(at_ms(3200), at_ms(5200));
        CPPUNIT_ASSERT(tracker_.record_success(at_ms(5400)) == at_ms(5400));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_loss_tracker_test);

} // namespace
