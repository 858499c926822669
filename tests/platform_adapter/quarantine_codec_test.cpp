#include <godwit/platform_adapter/quarantine_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter;
using std::chrono::hours;
using std::chrono::seconds;

class quarantine_codec_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(quarantine_codec_test);
    CPPUNIT_TEST(test_a_record_round_trips);
    CPPUNIT_TEST(test_a_record_of_a_prompt_part_round_trips);
    CPPUNIT_TEST(test_the_age_is_read_from_the_wall_clock);
    CPPUNIT_TEST(test_a_time_in_the_future_is_read_as_the_current_time);
    CPPUNIT_TEST(test_malformed_records_are_refused);
    CPPUNIT_TEST_SUITE_END();

    const std::string key_ = "quarantine/" + std::string(32, 'a');
    const clock_reading written_{
        core::time_point(hours(5)), std::chrono::hours(480000)};
    const admission::crash_report report_{
        admission::request_fingerprint(std::string(32, 'a')),
        core::organisation_name("north"),
        {{placement::server_id("i-1"),
          placement::server_start{7},
          written_.monotonic - seconds(2)},
         {placement::server_id("i-2"),
          placement::server_start{},
          written_.monotonic - seconds(4)}}};

    void test_a_record_round_trips()
    {
        CPPUNIT_ASSERT_EQUAL(key_, quarantine_key(report_.request));
        const auto read = read_quarantine(
            key_, write_quarantine(report_, written_), written_);
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(report_ == *read);
    }

    void test_a_record_of_a_prompt_part_round_trips()
    {
        admission::crash_report report = report_;
        report.prompt_position = 3;
        const auto read =
            read_quarantine(key_, write_quarantine(report, written_), written_);
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(report == *read);
    }

    // Monotonic times of another process are not comparable.
    void test_the_age_is_read_from_the_wall_clock()
    {
        const clock_reading later{
            core::time_point(hours(9)), written_.wall + seconds(10)};
        const auto read =
            read_quarantine(key_, write_quarantine(report_, written_), later);
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(later.monotonic - seconds(12) == read->last_crash());
    }

    void test_a_time_in_the_future_is_read_as_the_current_time()
    {
        const clock_reading earlier{
            core::time_point(hours(9)), written_.wall - hours(1)};
        const auto read =
            read_quarantine(key_, write_quarantine(report_, written_), earlier);
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT(earlier.monotonic == read->last_crash());
    }

    void test_malformed_records_are_refused()
    {
        for (const char* text :
             {"",
              "{}",
              "[]",
              R"({"organisation":"n"})",
              R"({"crashes":[]})",
              R"({"organisation":7,"crashes":[]})",
              R"({"organisation":"n","crashes":7})",
              R"({"organisation":"n","crashes":[["i-1"]]})",
              R"({"organisation":"n","crashes":[["i-1",7]]})",
              R"({"organisation":"n","crashes":[["i-1",-7,1]]})",
              R"({"organisation":"n","crashes":[["i-1",7,-1]]})",
              R"({"organisation":"n","crashes":[["i-1",7,"1"]]})",
              R"({"organisation":"n","crashes":[["",7,1]]})",
              R"({"organisation":"n","crashes":["i-1"]})",
              R"({"organisation":"n","crashes":[],"prompt_position":-1})",
              R"({"organisation":"n","crashes":[],"prompt_position":"1"})",
              R"({"organisation":"n","crashes":[],"prompt_position":1.5})",
              R"({"organisation":"n","crashes":[],
                  "prompt_position":4294967295})"})
            CPPUNIT_ASSERT_MESSAGE(
                text, !read_quarantine(key_, text, written_));
        for (const char* key :
             {"", "quarantine", "quarantine/", "quarantine/x"})
            CPPUNIT_ASSERT_MESSAGE(
                key,
                !read_quarantine(
                    key, write_quarantine(report_, written_), written_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_codec_test);

} // namespace
