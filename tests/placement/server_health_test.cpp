#include "samples.hpp"

#include <godwit/placement/server_health.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace godwit::placement;
using godwit::placement::test::at_ms;
using std::chrono::seconds;

class server_health_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_health_test);
    CPPUNIT_TEST(test_a_requested_backoff_ends_after_its_time);
    CPPUNIT_TEST(test_a_later_request_does_not_shorten_a_backoff);
    CPPUNIT_TEST(test_a_backoff_is_bounded);
    CPPUNIT_TEST(test_only_a_restart_ends_a_backoff_early);
    CPPUNIT_TEST_SUITE_END();

    const server_id server_{"i-1"};
    server_health health_;

    void test_a_requested_backoff_ends_after_its_time()
    {
        health_.record_requested_backoff(server_, seconds(3), at_ms(0));
        CPPUNIT_ASSERT(health_.has_requested_backoff(server_, at_ms(2999)));
        CPPUNIT_ASSERT(
            health_.requested_backoff_left(server_, at_ms(1000)) == seconds(2));
        CPPUNIT_ASSERT(!health_.has_requested_backoff(server_, at_ms(3000)));
        CPPUNIT_ASSERT(
            !health_.has_requested_backoff(server_id("i-2"), at_ms(0)));
    }

    void test_a_later_request_does_not_shorten_a_backoff()
    {
        health_.record_requested_backoff(server_, seconds(3), at_ms(0));
        health_.record_requested_backoff(server_, seconds(1), at_ms(100));
        CPPUNIT_ASSERT(health_.has_requested_backoff(server_, at_ms(2999)));
        health_.record_requested_backoff(server_, seconds(0), at_ms(200));
        CPPUNIT_ASSERT(health_.has_requested_backoff(server_, at_ms(2999)));
        health_.record_requested_backoff(server_, seconds(3), at_ms(1000));
        CPPUNIT_ASSERT(health_.has_requested_backoff(server_, at_ms(3999)));
    }

    void test_a_backoff_is_bounded()
    {
        health_.record_requested_backoff(
            server_, std::chrono::hours(24), at_ms(0));
        CPPUNIT_ASSERT(
            health_.requested_backoff_left(server_, at_ms(0)) ==
            server_health::max_requested_backoff);
    }

    void test_only_a_restart_ends_a_backoff_early()
    {
        health_.record_requested_backoff(server_, seconds(3), at_ms(0));
        health_.record_success(server_);
        health_.forget(server_);
        CPPUNIT_ASSERT(health_.has_requested_backoff(server_, at_ms(1)));
        health_.end_requested_backoff(server_);
        CPPUNIT_ASSERT(!health_.has_requested_backoff(server_, at_ms(1)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_health_test);

} // namespace
