#include <godwit/telemetry/bounded_sink.hpp>
#include <godwit/telemetry/log_line.hpp>
#include <godwit/telemetry/metrics.hpp>
#include <godwit/telemetry/state_dump.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace {

using godwit::core::request_class_name;
using godwit::core::service_name;
using godwit::core::time_point;
using godwit::telemetry::bounded_sink;
using godwit::telemetry::log_line;
using godwit::telemetry::metrics;
using godwit::telemetry::state_dump;

class telemetry_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(telemetry_test);
    CPPUNIT_TEST(test_special_characters_are_escaped);
    CPPUNIT_TEST(test_long_value_is_truncated);
    CPPUNIT_TEST(test_label_sets_are_bounded);
    CPPUNIT_TEST(test_dump_lists_are_bounded);
    CPPUNIT_TEST(test_a_full_pipe_does_not_block_the_log);
    CPPUNIT_TEST(test_log_rate_is_limited);
    CPPUNIT_TEST_SUITE_END();

    void test_special_characters_are_escaped()
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

    void test_long_value_is_truncated()
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
                     request_class_name("c"),
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

    static std::string notice(std::uint64_t count)
    {
        return "left_out=" + std::to_string(count) + "\n";
    }

    static std::string drain(int descriptor)
    {
        std::string text(std::size_t{1024} * 1024, '\0');
        const auto size = ::read(descriptor, text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }

    void test_a_full_pipe_does_not_block_the_log()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        bounded_sink sink(ends[1], {1e9, 1e9}, &notice);
        const std::string line = std::string(999, 'x') + "\n";
        // A pipe holds 64 KiB; the test would hang here if a write blocked.
        for (int count = 0; count < 1000; ++count)
            sink.write(line, time_point());
        CPPUNIT_ASSERT(sink.dropped_lines() > 900);
        const std::uint64_t dropped = sink.dropped_lines();
        drain(ends[0]);
        sink.write("end\n", time_point());
        CPPUNIT_ASSERT_EQUAL(notice(dropped) + "end\n", drain(ends[0]));
        ::close(ends[0]);
        ::close(ends[1]);
    }

    void test_log_rate_is_limited()
    {
        std::array<int, 2> ends{};
        CPPUNIT_ASSERT_EQUAL(0, ::pipe(ends.data()));
        bounded_sink sink(ends[1], {10, 5}, &notice);
        const time_point start{std::chrono::seconds(1)};
        for (int count = 0; count < 20; ++count)
            sink.write("a\n", start);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{15}, sink.dropped_lines());
        sink.write("b\n", start + std::chrono::milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(
            std::string("a\na\na\na\na\n") + notice(15) + "b\n",
            drain(ends[0]));
        ::close(ends[0]);
        ::close(ends[1]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(telemetry_test);

} // namespace
