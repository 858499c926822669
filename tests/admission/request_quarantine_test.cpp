#include <godwit/admission/request_quarantine.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::admission;
using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

class request_quarantine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(request_quarantine_test);
    CPPUNIT_TEST(test_three_crashes_quarantine_a_request);
    CPPUNIT_TEST(test_a_crash_reported_again_is_not_counted);
    CPPUNIT_TEST(test_crashes_of_a_restarted_server_count_separately);
    CPPUNIT_TEST(test_a_completed_run_clears_a_request);
    CPPUNIT_TEST(test_other_requests_are_not_quarantined);
    CPPUNIT_TEST(test_crashes_from_before_a_completed_run_do_not_count);
    CPPUNIT_TEST(test_crashes_right_after_a_completed_run_do_not_count);
    CPPUNIT_TEST(test_failed_trials_extend_a_quarantine);
    CPPUNIT_TEST(test_a_crash_beside_the_third_is_no_failed_trial);
    CPPUNIT_TEST(test_hosts_take_turns_with_trials);
    CPPUNIT_TEST(test_a_completed_trial_ends_the_quarantine);
    CPPUNIT_TEST(test_a_request_that_is_not_quarantined_needs_no_trial);
    CPPUNIT_TEST(test_crashes_below_the_limit_expire);
    CPPUNIT_TEST(test_other_requests_do_not_evict_a_quarantined_one);
    CPPUNIT_TEST(test_an_organisation_at_its_limit_evicts_its_own_requests);
    CPPUNIT_TEST(test_a_part_of_different_requests_is_quarantined);
    CPPUNIT_TEST(test_only_the_latest_of_equal_parts_is_quarantined);
    CPPUNIT_TEST(test_the_part_under_most_crashes_is_the_cause);
    CPPUNIT_TEST(test_a_request_does_not_hide_the_part_that_crashes_others);
    CPPUNIT_TEST(test_two_parts_that_crash_different_servers);
    CPPUNIT_TEST(test_hosts_agree_whatever_the_order_of_the_reports);
    CPPUNIT_TEST(test_a_cleared_cause_leaves_the_other_suspects);
    CPPUNIT_TEST(test_invented_parts_do_not_evict_a_suspect);
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
              placement::server_start{started_at_ms},
              now}}};
    }

    static crash_report part_report(
        const std::string& part,
        std::uint32_t position,
        const std::string& server,
        core::time_point now)
    {
        crash_report made = report(part, server, now);
        made.prompt_position = position;
        return made;
    }

    [[nodiscard]] bool is_quarantined(const std::string& request) const
    {
        return quarantine_.is_quarantined(request_fingerprint(request));
    }

    // Adds crashes under requests with these parts, in this order.
    void crash(
        const std::vector<std::string>& parts,
        const std::vector<std::string>& servers)
    {
        for (const std::string& server : servers) {
            std::uint32_t position = 0;
            for (const std::string& part : parts)
                quarantine_.add(part_report(part, position++, server, start_));
        }
    }

    void crash_three_servers(core::time_point now)
    {
        for (const char* server : {"i-1", "i-2", "i-3"})
            CPPUNIT_ASSERT(quarantine_.add(report("a", server, now)));
    }

    void test_three_crashes_quarantine_a_request()
    {
        CPPUNIT_ASSERT(quarantine_.empty());
        quarantine_.add(report("a", "i-1", start_));
        quarantine_.add(report("a", "i-2", start_));
        CPPUNIT_ASSERT(!quarantine_.is_quarantined(request_));
        quarantine_.add(report("a", "i-3", start_));
        CPPUNIT_ASSERT(quarantine_.is_quarantined(request_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.quarantined_count());
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, quarantine_.crash_count(request_));
    }

    void test_a_crash_reported_again_is_not_counted()
    {
        CPPUNIT_ASSERT(quarantine_.add(report("a", "i-1", start_)));
        for (int repeat = 0; repeat < 5; ++repeat)
            CPPUNIT_ASSERT(!quarantine_.add(report("a", "i-1", start_)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.crash_count(request_));
    }

    void test_crashes_of_a_restarted_server_count_separately()
    {
        for (std::uint64_t started_at_ms = 1; started_at_ms <= 3;
             ++started_at_ms)
            quarantine_.add(report("a", "i-1", start_, started_at_ms));
        CPPUNIT_ASSERT(quarantine_.is_quarantined(request_));
    }

    void test_a_completed_run_clears_a_request()
    {
        quarantine_.add(report("a", "i-1", start_));
        quarantine_.add(report("a", "i-2", start_));
        CPPUNIT_ASSERT(quarantine_.remove(request_, start_));
        CPPUNIT_ASSERT(!quarantine_.remove(request_, start_));
        const core::time_point later =
            start_ + request_quarantine::completed_run_validity + seconds(1);
        CPPUNIT_ASSERT(quarantine_.add(report("a", "i-3", later)));
        CPPUNIT_ASSERT(!quarantine_.is_quarantined(request_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.crash_count(request_));
    }

    // Another host may not have received the completed run yet.
    void test_crashes_from_before_a_completed_run_do_not_count()
    {
        quarantine_.add(report("a", "i-1", start_));
        quarantine_.remove(request_, start_ + seconds(1));
        CPPUNIT_ASSERT(!quarantine_.add(report("a", "i-2", start_)));
        CPPUNIT_ASSERT(quarantine_.empty());
    }

    // Servers that become unreachable at the same time may be reported as
    // crashed.
    void test_crashes_right_after_a_completed_run_do_not_count()
    {
        quarantine_.add(report("a", "i-0", start_));
        const core::time_point completed = start_ + seconds(20);
        quarantine_.remove(request_, start_);
        quarantine_.remove(request_, completed);
        for (const char* server : {"i-1", "i-2", "i-3"})
            CPPUNIT_ASSERT(
                !quarantine_.add(report("a", server, completed + seconds(1))));
        CPPUNIT_ASSERT(!quarantine_.is_quarantined(request_));
        CPPUNIT_ASSERT(quarantine_.is_known(request_));
    }

    void test_other_requests_are_not_quarantined()
    {
        crash_three_servers(start_);
        quarantine_.add(report("b", "i-3", start_));
        CPPUNIT_ASSERT(!quarantine_.is_quarantined(request_fingerprint("b")));
        CPPUNIT_ASSERT(!quarantine_.is_quarantined(request_fingerprint("c")));
    }

    // Runs that began before the quarantine may still crash after it.
    void test_a_crash_beside_the_third_is_no_failed_trial()
    {
        crash_three_servers(start_);
        const core::time_point fourth = start_ + std::chrono::milliseconds(300);
        quarantine_.add(report("a", "i-4", fourth));
        CPPUNIT_ASSERT(
            quarantine_.start_trial(request_, 0, fourth + seconds(10)));
    }

    void test_failed_trials_extend_a_quarantine()
    {
        crash_three_servers(start_);
        core::time_point crashed = start_;
        std::uint64_t restart = 1;
        for (const core::duration duration :
             {core::duration(seconds(10)),
              core::duration(minutes(10)),
              core::duration(hours(2)),
              core::duration(hours(24)),
              core::duration(hours(24)),
              core::duration(hours(24)),
              core::duration(hours(24)),
              core::duration(hours(24))}) {
            const core::time_point due = crashed + duration;
            quarantine_.expire(due);
            CPPUNIT_ASSERT(quarantine_.is_quarantined(request_));
            CPPUNIT_ASSERT(
                !quarantine_.start_trial(request_, 0, due - seconds(1)));
            CPPUNIT_ASSERT(quarantine_.start_trial(request_, 0, due));
            CPPUNIT_ASSERT(
                !quarantine_.start_trial(request_, 0, due + seconds(29)));
            crashed = due + seconds(1);
            ++restart;
            CPPUNIT_ASSERT(
                quarantine_.add(report("a", "i-4", crashed, restart)));
        }
    }

    void test_hosts_take_turns_with_trials()
    {
        crash_three_servers(start_);
        const core::time_point due = start_ + seconds(10);
        CPPUNIT_ASSERT(!quarantine_.start_trial(request_, 1, due));
        CPPUNIT_ASSERT(
            !quarantine_.start_trial(request_, 5, due + seconds(149)));
        CPPUNIT_ASSERT(quarantine_.start_trial(request_, 1, due + seconds(30)));
        CPPUNIT_ASSERT(
            !quarantine_.start_trial(request_, 1, due + seconds(59)));
        CPPUNIT_ASSERT(quarantine_.start_trial(request_, 1, due + seconds(60)));
    }

    void test_a_completed_trial_ends_the_quarantine()
    {
        crash_three_servers(start_);
        const core::time_point due = start_ + seconds(10);
        CPPUNIT_ASSERT(quarantine_.start_trial(request_, 0, due));
        CPPUNIT_ASSERT(quarantine_.remove(request_, due + seconds(1)));
        CPPUNIT_ASSERT(!quarantine_.is_quarantined(request_));
        CPPUNIT_ASSERT(!quarantine_.start_trial(request_, 0, due));
    }

    void test_a_request_that_is_not_quarantined_needs_no_trial()
    {
        quarantine_.add(report("a", "i-1", start_));
        CPPUNIT_ASSERT(
            !quarantine_.start_trial(request_, 0, start_ + hours(1)));
    }

    void test_crashes_below_the_limit_expire()
    {
        quarantine_.add(report("a", "i-1", start_));
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
            quarantine_.add(report(
                "r" + std::to_string(index),
                "i-1",
                start_ + minutes(1),
                1,
                "org" + std::to_string(index)));
        CPPUNIT_ASSERT(quarantine_.is_quarantined(request_));
        CPPUNIT_ASSERT_EQUAL(
            request_quarantine::max_requests, quarantine_.size());
    }

    void test_an_organisation_at_its_limit_evicts_its_own_requests()
    {
        quarantine_.add(report("a", "i-1", start_, 1, "south"));
        constexpr std::size_t many = 3 * request_quarantine::max_requests;
        for (std::size_t index = 0; index < many; ++index)
            quarantine_.add(report(
                "r" + std::to_string(index), "i-1", start_ + minutes(1)));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.crash_count(request_));
        CPPUNIT_ASSERT_EQUAL(
            request_quarantine::max_requests_per_organisation + 1,
            quarantine_.size());
    }

    void test_a_part_of_different_requests_is_quarantined()
    {
        for (const char* server : {"i-1", "i-2", "i-3"}) {
            CPPUNIT_ASSERT(!is_quarantined("part"));
            quarantine_.add(
                report("content of " + std::string(server), server, start_));
            quarantine_.add(part_report("part", 1, server, start_));
        }
        CPPUNIT_ASSERT(is_quarantined("part"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, quarantine_.quarantined_count());
    }

    // The first part may be that of all requests of a route.
    void test_only_the_latest_of_equal_parts_is_quarantined()
    {
        crash({"first", "second", "cause"}, {"i-1", "i-2", "i-3"});
        CPPUNIT_ASSERT(is_quarantined("cause"));
        CPPUNIT_ASSERT(!is_quarantined("first"));
        CPPUNIT_ASSERT(!is_quarantined("second"));
    }

    void test_the_part_under_most_crashes_is_the_cause()
    {
        crash({"cause", "later"}, {"i-1", "i-2", "i-3"});
        CPPUNIT_ASSERT(is_quarantined("later"));
        crash({"cause", "other"}, {"i-4"});
        CPPUNIT_ASSERT(is_quarantined("cause"));
        CPPUNIT_ASSERT(!is_quarantined("later"));
    }

    void test_a_request_does_not_hide_the_part_that_crashes_others()
    {
        crash_three_servers(start_);
        crash({"cause"}, {"i-1", "i-2", "i-3"});
        CPPUNIT_ASSERT(quarantine_.is_quarantined(request_));
        CPPUNIT_ASSERT(!is_quarantined("cause"));
        crash({"cause"}, {"i-4"});
        CPPUNIT_ASSERT(is_quarantined("cause"));
    }

    void test_two_parts_that_crash_different_servers()
    {
        crash({"first", "one"}, {"i-1", "i-2", "i-3"});
        crash({"first", "two"}, {"i-4", "i-5", "i-6"});
        // Six crashes are under the first part until it completes a run.
        CPPUNIT_ASSERT(is_quarantined("first"));
        CPPUNIT_ASSERT(quarantine_.remove(
            request_fingerprint("first"), start_ + seconds(1)));
        CPPUNIT_ASSERT(is_quarantined("one"));
        CPPUNIT_ASSERT(is_quarantined("two"));
    }

    void test_hosts_agree_whatever_the_order_of_the_reports()
    {
        std::vector<crash_report> reports;
        for (const char* server : {"i-1", "i-2", "i-3", "i-4"}) {
            reports.push_back(part_report("first", 0, server, start_));
            reports.push_back(part_report("cause", 1, server, start_));
            reports.push_back(part_report("later", 2, server, start_));
        }
        reports.pop_back();
        std::minstd_rand random(7);
        for (int order = 0; order < 50; ++order) {
            std::shuffle(reports.begin(), reports.end(), random);
            quarantine_ = request_quarantine();
            for (const crash_report& one : reports)
                quarantine_.add(one);
            CPPUNIT_ASSERT(is_quarantined("cause"));
            CPPUNIT_ASSERT_EQUAL(
                std::size_t{1}, quarantine_.quarantined_count());
        }
    }

    void test_a_cleared_cause_leaves_the_other_suspects()
    {
        crash({"first", "later"}, {"i-1", "i-2", "i-3"});
        CPPUNIT_ASSERT(quarantine_.remove(
            request_fingerprint("later"), start_ + seconds(1)));
        CPPUNIT_ASSERT(is_quarantined("first"));
    }

    void test_invented_parts_do_not_evict_a_suspect()
    {
        crash({"cause"}, {"i-1", "i-2"});
        constexpr std::size_t many =
            3 * request_quarantine::max_requests_per_organisation;
        for (std::size_t index = 0; index < many; ++index)
            quarantine_.add(part_report(
                "p" + std::to_string(index), 0, "i-3", start_ + minutes(1)));
        crash({"cause"}, {"i-3"});
        CPPUNIT_ASSERT(is_quarantined("cause"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_quarantine_test);

} // namespace
