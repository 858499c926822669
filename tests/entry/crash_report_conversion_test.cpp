#include <godwit/entry/crash_report_conversion.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::entry;

class crash_report_conversion_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_report_conversion_test);
    CPPUNIT_TEST(test_a_report_survives_a_round_trip);
    CPPUNIT_TEST(test_invalid_fingerprints_are_refused);
    CPPUNIT_TEST(test_crashes_without_a_server_are_refused);
    CPPUNIT_TEST_SUITE_END();

    const core::time_point now_{std::chrono::hours(1)};
    const admission::crash_report report_{
        admission::request_fingerprint(std::string(32, 'a')),
        core::organisation_name("north"),
        {{placement::server_id("i-1"),
          placement::server_start{7},
          now_ - std::chrono::seconds(2)},
         {placement::server_id("i-2"), placement::server_start{}, now_}}};

    void test_a_report_survives_a_round_trip()
    {
        const auto received = to_crash_report(to_wire(report_, now_), now_);
        CPPUNIT_ASSERT(received);
        CPPUNIT_ASSERT(report_ == *received);
        admission::crash_report part = report_;
        part.prompt_position = 2;
        CPPUNIT_ASSERT(part == to_crash_report(to_wire(part, now_), now_));
    }

    void test_invalid_fingerprints_are_refused()
    {
        for (const std::string& invalid :
             {std::string(),
              std::string(31, 'a'),
              std::string(33, 'a'),
              std::string(32, 'A'),
              std::string(32, '\0')}) {
            wire::crash_report report = to_wire(report_, now_);
            report.request = invalid;
            CPPUNIT_ASSERT(!to_crash_report(report, now_));
            CPPUNIT_ASSERT(!to_fingerprint(invalid));
        }
    }

    void test_crashes_without_a_server_are_refused()
    {
        wire::crash_report report = to_wire(report_, now_);
        report.crashes.back().server.clear();
        CPPUNIT_ASSERT(!to_crash_report(report, now_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_report_conversion_test);

} // namespace
