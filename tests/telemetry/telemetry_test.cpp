#include <godwit/telemetry/log_line.hpp>
#include <godwit/telemetry/metrics.hpp>
#include <godwit/telemetry/state_dump.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using godwit::core::class_name;
using godwit::core::service_name;
using godwit::telemetry::log_line;
using godwit::telemetry::metrics;
using godwit::telemetry::state_dump;

class telemetry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(telemetry_test);
    CPPUNIT_TEST(test_one_line_whatever_the_values);
    CPPUNIT_TEST(test_length_is_bounded);
    CPPUNIT_TEST(test_label_sets_are_bounded);
    CPPUNIT_TEST(test_dump_lists_are_bounded);
    CPPUNIT_TEST_SUITE_END();

    void test_one_line_whatever_the_values()
    {
        CPPUNIT_ASSERT_EQUAL(
            std::string(R"(event=e n=3 ok=true s=a q="x \"y\"=\n\x01" z="")"),
            log_line(
                "e",
                {{"n", 3},
                 {"ok", true},
                 {"s", "a"},
                 {"q", "x \"y\"=\n\x01"},
                 {"z", ""}}));
    }

    void test_length_is_bounded()
    {
        const std::string huge(100000, 'a');
        const auto line = log_line("e", {{"a", huge}, {"b", 1}});
        CPPUNIT_ASSERT(line.size() < 600);
        CPPUNIT_ASSERT(line.ends_with("...\" b=1"));
    }

    void test_label_sets_are_bounded()
    {
        const auto values = metrics::create(2);
        for (int index = 0; index < 50; ++index)
            values
                ->counter(
                    "requests_total",
                    "Requests.",
                    {service_name("s" + std::to_string(index)),
                     class_name("c"),
                     godwit::core::outcome::completed})
                .Increment();
        const auto text = values->serialise();
        CPPUNIT_ASSERT(text.find("service=\"s1\"") != std::string::npos);
        CPPUNIT_ASSERT(text.find("service=\"s2\"") == std::string::npos);
        CPPUNIT_ASSERT(text.find("service=\"other\"} 48") != std::string::npos);
    }

    void test_dump_lists_are_bounded()
    {
        const std::vector<int> numbers{1, 2, 3};
        const auto list = state_dump::list(
            numbers, [](int number) { return number; }, 2);
        CPPUNIT_ASSERT(list.at("count").to_number<int>() == 3);
        CPPUNIT_ASSERT(list.at("items").as_array().size() == 2);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_test);

} // namespace
