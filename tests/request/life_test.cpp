#include "life_driver.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit::request;
using godwit::core::idempotency_key;
using godwit::core::outcome;
using godwit::request::test::life_driver;
using std::chrono::seconds;

accepted booking()
{
    accepted request;
    request.repeat = repeatability::not_repeatable;
    request.key = idempotency_key("k");
    request.kind = request_kind::service_call;
    request.mode = answer_mode::whole;
    return request;
}

class life_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(life_test);
    CPPUNIT_TEST(test_stream_is_delivered);
    CPPUNIT_TEST(test_broken_before_first_byte_goes_elsewhere);
    CPPUNIT_TEST(test_not_repeatable_is_unknown_after_first_byte);
    CPPUNIT_TEST(test_not_started_answer_permits_another_try);
    CPPUNIT_TEST(test_overlap_is_dropped_and_gap_refused);
    CPPUNIT_TEST(test_lost_generation_after_delivery_is_interrupted);
    CPPUNIT_TEST(test_crossed_answer_is_not_passed_on);
    CPPUNIT_TEST(test_retry_stays_in_the_budget);
    CPPUNIT_TEST(test_refused_before_the_claim_is_unknown);
    CPPUNIT_TEST(test_claim_won_too_late_is_given_back);
    CPPUNIT_TEST(test_run_under_claim_goes_on_without_caller);
    CPPUNIT_TEST(test_orphan_is_cancelled_after_the_wait);
    CPPUNIT_TEST(test_orphan_that_moved_is_left_alone);
    CPPUNIT_TEST(test_drain_limit_leaves_a_stream_to_other_hosts);
    CPPUNIT_TEST(test_slow_caller_is_cut);
    CPPUNIT_TEST(test_late_grant_is_given_back);
    CPPUNIT_TEST(test_stall_resumes_on_the_same_server);
    CPPUNIT_TEST_SUITE_END();

    void test_stream_is_delivered()
    {
        life_driver driver;
        driver.feed(accepted{});
        driver.start();
        driver.head();
        driver.tokens(0, 1);
        driver.tokens(1, 3, token_finish::last);
        driver.feed(answer_complete{driver.connection()});
        CPPUNIT_ASSERT_EQUAL(1, driver.count<keep_connection>());
        driver.feed(delivered_to_caller{});
        CPPUNIT_ASSERT(driver.subject().result() == outcome::completed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(4), driver.subject().delivered());
    }

    void test_broken_before_first_byte_goes_elsewhere()
    {
        life_driver driver;
        driver.feed(booking());
        driver.feed(claim_won{driver.now() + seconds(60)});
        driver.feed(granted{1, life_driver::server("e1"), 0});
        driver.feed(connect_failed{driver.connection(), true});
        driver.fire(timer::retry, seconds(1));
        CPPUNIT_ASSERT(
            driver.last<ask_dispatch>().excluded.front().value() == "e1");
    }

    void test_not_repeatable_is_unknown_after_first_byte()
    {
        life_driver driver;
        driver.feed(booking());
        driver.feed(claim_won{driver.now() + seconds(60)});
        driver.start();
        driver.feed(link_broken{driver.connection()});
        CPPUNIT_ASSERT(driver.last<fail_request>().result == outcome::unknown);
        CPPUNIT_ASSERT_EQUAL(1, driver.count<send_request>());
        CPPUNIT_ASSERT_EQUAL(0, driver.count<release_claim>());
    }

    void test_not_started_answer_permits_another_try()
    {
        life_driver driver;
        driver.feed(booking());
        driver.feed(claim_won{driver.now() + seconds(60)});
        driver.start();
        driver.feed(
            answer_head{driver.connection(), 503, "", start_state::leaving});
        CPPUNIT_ASSERT(
            driver.last<report_server>().seen == observation::leaving);
        driver.fire(timer::retry, seconds(1));
        driver.feed(dispatch_refused{2, refusal::no_server, {}});
        CPPUNIT_ASSERT(driver.last<fail_request>().result == outcome::not_run);
        CPPUNIT_ASSERT_EQUAL(1, driver.count<release_claim>());
    }

    void test_overlap_is_dropped_and_gap_refused()
    {
        life_driver driver;
        driver.feed(accepted{});
        driver.start();
        driver.head();
        driver.tokens(0, 4);
        driver.tokens(2, 3);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t(4), driver.last<deliver_tokens>().first);
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t(1), driver.last<deliver_tokens>().count);
        driver.tokens(6, 1);
        CPPUNIT_ASSERT(driver.subject().current_step() == step::resuming);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), driver.subject().delivered());
    }

    void test_lost_generation_after_delivery_is_interrupted()
    {
        life_driver driver;
        driver.feed(accepted{});
        driver.start();
        driver.head();
        driver.tokens(0, 4);
        driver.feed(link_broken{driver.connection()});
        driver.fire(timer::retry, seconds(1));
        driver.feed(connected{driver.connection()});
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t(4), driver.last<resume_generation>().from);
        driver.feed(answer_head{driver.connection(), 404, "", {}});
        CPPUNIT_ASSERT(
            driver.last<fail_request>().result == outcome::interrupted);
        CPPUNIT_ASSERT_EQUAL(1, driver.count<send_request>());
    }

    void test_crossed_answer_is_not_passed_on()
    {
        life_driver driver;
        accepted call;
        call.kind = request_kind::service_call;
        call.mode = answer_mode::whole;
        driver.feed(call);
        driver.start();
        driver.feed(answer_head{driver.connection(), 200, "other", {}});
        CPPUNIT_ASSERT_EQUAL(0, driver.count<keep_connection>());
        CPPUNIT_ASSERT_EQUAL(1, driver.count<close_connection>());
        driver.fire(timer::retry, seconds(1));
        CPPUNIT_ASSERT_EQUAL(2, driver.count<ask_dispatch>());
    }

    void test_retry_stays_in_the_budget()
    {
        life_driver driver(0);
        accepted call;
        call.kind = request_kind::service_call;
        driver.feed(call);
        driver.start();
        driver.feed(link_broken{driver.connection()});
        CPPUNIT_ASSERT(
            driver.last<fail_request>().reason == fail_reason::retry_budget);
        CPPUNIT_ASSERT(driver.last<fail_request>().retry_after.has_value());
    }

    void test_refused_before_the_claim_is_unknown()
    {
        // An earlier try through another entry host may have run.
        life_driver driver;
        driver.feed(booking());
        driver.feed(claim_unavailable{});
        CPPUNIT_ASSERT(driver.last<fail_request>().result == outcome::unknown);
        CPPUNIT_ASSERT(driver.last<fail_request>().retry_after.has_value());
    }

    void test_claim_won_too_late_is_given_back()
    {
        life_driver driver;
        driver.feed(booking());
        driver.feed(claim_won{driver.now() + seconds(60)});
        driver.feed(granted{1, life_driver::server("e1"), 0});
        driver.fire(timer::orphan, seconds(61));
        driver.feed(connected{driver.connection()});
        CPPUNIT_ASSERT(driver.last<fail_request>().result == outcome::not_run);
        CPPUNIT_ASSERT_EQUAL(0, driver.count<send_request>());
        CPPUNIT_ASSERT_EQUAL(1, driver.count<release_claim>());
    }

    void test_run_under_claim_goes_on_without_caller()
    {
        life_driver driver;
        driver.feed(booking());
        driver.feed(claim_won{driver.now() + seconds(60)});
        driver.start();
        driver.feed(caller_gone{});
        CPPUNIT_ASSERT(!driver.subject().finished());
        driver.feed(answer_head{driver.connection(), 200, "r", {}});
        driver.feed(answer_complete{driver.connection()});
        CPPUNIT_ASSERT(
            driver.last<settle_claim>().result == outcome::completed);
        CPPUNIT_ASSERT(driver.subject().finished());
    }

    static void begin_stream(life_driver& driver)
    {
        driver.feed(accepted{});
        driver.start();
        driver.head();
        driver.tokens(0, 2);
    }

    void test_orphan_is_cancelled_after_the_wait()
    {
        life_driver driver;
        begin_stream(driver);
        driver.feed(caller_gone{});
        driver.tokens(2, 1);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(2), driver.subject().delivered());
        CPPUNIT_ASSERT_EQUAL(0, driver.count<cancel_generation>());
        driver.fire(timer::orphan, seconds(10));
        CPPUNIT_ASSERT_EQUAL(1, driver.count<cancel_generation>());
        CPPUNIT_ASSERT(driver.subject().finished());
    }

    void test_orphan_that_moved_is_left_alone()
    {
        life_driver driver;
        begin_stream(driver);
        driver.feed(caller_gone{});
        driver.feed(resumed_elsewhere{driver.last<send_request>().generation});
        CPPUNIT_ASSERT(driver.subject().finished());
        CPPUNIT_ASSERT_EQUAL(0, driver.count<cancel_generation>());
    }

    void test_drain_limit_leaves_a_stream_to_other_hosts()
    {
        life_driver driver;
        begin_stream(driver);
        driver.feed(drain_began{});
        CPPUNIT_ASSERT(!driver.subject().finished());
        driver.feed(drain_limit{});
        CPPUNIT_ASSERT(
            driver.last<fail_request>().result == outcome::interrupted);
        CPPUNIT_ASSERT_EQUAL(0, driver.count<cancel_generation>());
    }

    void test_slow_caller_is_cut()
    {
        life_driver driver;
        begin_stream(driver);
        driver.feed(caller_slow{});
        CPPUNIT_ASSERT(
            driver.last<fail_request>().reason == fail_reason::caller_slow);
        CPPUNIT_ASSERT_EQUAL(1, driver.count<cancel_generation>());
    }

    void test_late_grant_is_given_back()
    {
        life_driver driver;
        driver.feed(accepted{});
        driver.feed(service_gone{});
        CPPUNIT_ASSERT(driver.last<fail_request>().result == outcome::not_run);
        driver.feed(granted{1, life_driver::server("e1"), 0});
        CPPUNIT_ASSERT_EQUAL(2, driver.count<leave_dispatch>());
    }

    void test_stall_resumes_on_the_same_server()
    {
        life_driver driver;
        driver.feed(accepted{});
        driver.start();
        driver.head();
        driver.tokens(0, 1);
        driver.fire(timer::stall, seconds(2));
        CPPUNIT_ASSERT(driver.subject().current_step() == step::first_token);
        driver.fire(timer::stall, seconds(1));
        driver.fire(timer::retry, seconds(1));
        CPPUNIT_ASSERT(driver.last<connect_to>().server.value() == "e1");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(life_test);

} // namespace
