#include <godwit/admission/request_quarantine.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::admission;
using std::chrono::hours;
using std::chrono::minutes;

class request_quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_quarantine_test);
    CPPUNIT_TEST(test_three_crashes_quarantine_a_request);
    CPPUNIT_TEST(test_a_crash_reported_again_is_not_counted);
    CPPUNIT_TEST(test_crashes_of_a_restarted_server_count_separately);
    CPPUNIT_TEST(test_a_completed_run_clears_a_request);
    CPPUNIT_TEST(test_other_requests_are_not_quarantined);
    CPPUNIT_TEST(test_a_quarantine_expires_and_grows_with_further_crashes);
    CPPUNIT_TEST(test_crashes_below_the_limit_expire);
    CPPUNIT_TEST(test_other_requests_do_not_evict_a_quarantined_one);
    CPPUNIT_TEST(test_an_organisation_at_its_limit_evicts_its_own_requests);
    CPPUNIT_TEST_SUITE_END();

    const request_fingerprint request_{"a"};
    const core::time_point start_{hours(1)};
    request_quarantine quarantine_;

    static crash_report report(
        const std::string& request,
        const std::string& server,
        core::time_point now,
        std::uint64_t started_at_ms = 1,
        const std::string& organisation = "north")
    {
        return {
            request_fingerprint(request),
            core::organisation_name(organisation),
            {{placement::server_id(server),
              placement::server_start{started_at_ms}}},
            now};
    }

    void crash_three_servers(core::time_point now)
    {
        for (const char* server : {"i-1", "i-2", "i-3"})
            CPPUNIT_ASSERT(quarantine_.add(report("a", server, now), now));
    }

    void test_three_crashes_quarantine_a_request()
    {
        CPPUNIT_ASSERT(quarantine_.empty());
        quarantine_.add(report("a", "i-1", start_), start_);
        quarantine_.add(report("a", "i-2", start_), start_);
        CPPUNIT_ASSERT(!quarantine_.is_quarantined(request_, start_));
        quarantine_.add(report("a", "i-3", start_), start_);
        CPPUNIT_ASSERT(quarantine_.is_quarantined(request_, start_));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, quarantine_.quarantined_count(start_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, quarantine_.crash_count(request_));
    }

    void test_a_crash_reported_again_is_not_counted()
    {
        CPPUNIT_ASSERT(quarantine_.add(report("a", "i-1", start_), start_));
        for (int repeat = 0; repeat < 5; ++repeat)
            CPPUNIT_ASSERT(
                !quarantine_.add(report("a", "i-1", start_), start_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.crash_count(request_));
    }

    void test_crashes_of_a_restarted_server_count_separately()
    {
        for (std::uint64_t started_at_ms = 1; started_at_ms <= 3;
             ++started_at_ms)
            quarantine_.add(report("a", "i-1", start_, started_at_ms), start_);
        CPPUNIT_ASSERT(quarantine_.is_quarantined(request_, start_));
    }

    void test_a_completed_run_clears_a_request()
    {
        quarantine_.add(report("a", "i-1", start_), start_);
        quarantine_.add(report("a", "i-2", start_), start_);
        CPPUNIT_ASSERT(quarantine_.remove(request_));
        CPPUNIT_ASSERT(!quarantine_.remove(request_));
        quarantine_.add(report("a", "i-3", start_), start_);
        CPPUNIT_ASSERT(!quarantine_.is_quarantined(request_, start_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.crash_count(request_));
    }

    void test_other_requests_are_not_quarantined()
    {
        crash_three_servers(start_);
        quarantine_.add(report("b", "i-3", start_), start_);
        CPPUNIT_ASSERT(
            !quarantine_.is_quarantined(request_fingerprint("b"), start_));
        CPPUNIT_ASSERT(
            !quarantine_.is_quarantined(request_fingerprint("c"), start_));
    }

    void test_a_quarantine_expires_and_grows_with_further_crashes()
    {
        crash_three_servers(start_);
        const core::duration first = request_quarantine::first_quarantine;
        const core::time_point end = start_ + first;
        CPPUNIT_ASSERT(quarantine_.is_quarantined(request_, end - minutes(1)));
        CPPUNIT_ASSERT(!quarantine_.is_quarantined(request_, end));
        quarantine_.expire(end);
        quarantine_.add(report("a", "i-4", end), end);
        CPPUNIT_ASSERT(
            quarantine_.is_quarantined(request_, end + 4 * first - minutes(1)));
        CPPUNIT_ASSERT(!quarantine_.is_quarantined(request_, end + 4 * first));
        core::time_point now = end;
        for (int crash = 0; crash < 10; ++crash) {
            now += hours(24);
            quarantine_.add(
                report("a", "i-5", now, static_cast<std::uint64_t>(crash)),
                now);
            CPPUNIT_ASSERT(
                quarantine_.is_quarantined(request_, now + hours(1)));
            CPPUNIT_ASSERT(
                !quarantine_.is_quarantined(request_, now + hours(24)));
        }
    }

    void test_crashes_below_the_limit_expire()
    {
        quarantine_.add(report("a", "i-1", start_), start_);
        const core::time_point end =
            start_ + request_quarantine::crash_retention;
        quarantine_.expire(end - minutes(1));
        CPPUNIT_ASSERT(!quarantine_.empty());
        quarantine_.expire(end);
        CPPUNIT_ASSERT(quarantine_.empty());
    }

    void test_other_requests_do_not_evict_a_quarantined_one()
    {
        crash_three_servers(start_);
        constexpr std::size_t many = 10 * request_quarantine::max_requests;
        for (std::size_t index = 0; index < many; ++index)
            quarantine_.add(
                report(
                    "r" + std::to_string(index),
                    "i-1",
                    start_ + minutes(1),
                    1,
                    "org" + std::to_string(index)),
                start_ + minutes(1));
        CPPUNIT_ASSERT(
            quarantine_.is_quarantined(request_, start_ + minutes(1)));
        CPPUNIT_ASSERT_EQUAL(
            request_quarantine::max_requests, quarantine_.size());
    }

    void test_an_organisation_at_its_limit_evicts_its_own_requests()
    {
        quarantine_.add(report("a", "i-1", start_, 1, "south"), start_);
        constexpr std::size_t many = 3 * request_quarantine::max_requests;
        for (std::size_t index = 0; index < many; ++index)
            quarantine_.add(
                report("r" + std::to_string(index), "i-1", start_ + minutes(1)),
                start_ + minutes(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.crash_count(request_));
        CPPUNIT_ASSERT_EQUAL(
            request_quarantine::max_requests_per_organisation + 1,
            quarantine_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_quarantine_test);

} // namespace
