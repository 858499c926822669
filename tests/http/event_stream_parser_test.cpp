#include <godwit/http/event_stream_parser.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace {

using godwit::http::event_stream_parser;
using godwit::http::format_event;
using godwit::http::server_sent_event;

class event_stream_parser_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(event_stream_parser_test);
    CPPUNIT_TEST(test_same_events_split_at_every_byte);
    CPPUNIT_TEST(test_formatted_event_reads_back);
    CPPUNIT_TEST(test_line_breaks_cannot_forge_fields);
    CPPUNIT_TEST(test_bound);
    CPPUNIT_TEST(test_comments_do_not_add_up);
    CPPUNIT_TEST(test_end_between_events);
    CPPUNIT_TEST_SUITE_END();

    void test_same_events_split_at_every_byte()
    {
        const std::string stream =
            "\xef\xbb\xbf: hello\n\nid: 1\ndata: a\ndata:b\ndata\n\n"
            "event: preempted\r\ndata:  x\r\n\r\nid:2\rdata: y: z\r\r"
            "unknown: field\n\nid: 3\n\ndata: cut";
        const std::vector<server_sent_event> expected{
            {"1", "", "a\nb\n"},
            {"", "preempted", " x"},
            {"2", "", "y: z"},
            {"3", "", ""}};
        for (std::size_t split = 0; split <= stream.size(); ++split) {
            event_stream_parser parser;
            auto events = parser.push(stream.substr(0, split)).value();
            const auto rest = parser.push(stream.substr(split)).value();
            events.insert(events.end(), rest.begin(), rest.end());
            CPPUNIT_ASSERT(events == expected);
            CPPUNIT_ASSERT(!parser.is_between_events());
        }
    }

    void test_formatted_event_reads_back()
    {
        const server_sent_event event{"7", "error", "one\ntwo\n"};
        event_stream_parser parser;
        const auto events = parser.push(format_event(event)).value();
        CPPUNIT_ASSERT(events == std::vector<server_sent_event>{event});
        CPPUNIT_ASSERT(parser.is_between_events());
    }

    void test_line_breaks_cannot_forge_fields()
    {
        const server_sent_event event{"1\ndata: forged", "a\r\nid: 2", "x\ry"};
        event_stream_parser parser;
        const auto events = parser.push(format_event(event)).value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, events.size());
        CPPUNIT_ASSERT_EQUAL(std::string("1data: forged"), events.front().id);
        CPPUNIT_ASSERT_EQUAL(std::string("xy"), events.front().data);
    }

    void test_bound()
    {
        event_stream_parser parser(10);
        CPPUNIT_ASSERT(parser.push("data: abcd\n\ndata: abcd\n\n"));
        CPPUNIT_ASSERT(!parser.push("data: abcde"));
        event_stream_parser by_lines(10);
        CPPUNIT_ASSERT(!by_lines.push("data:1\ndata:2\n"));
    }

    void test_comments_do_not_add_up()
    {
        event_stream_parser parser(10);
        for (int count = 0; count < 100; ++count)
            CPPUNIT_ASSERT(parser.push(":alive\n"));
    }

    void test_end_between_events()
    {
        event_stream_parser parser;
        CPPUNIT_ASSERT(parser.is_between_events());
        CPPUNIT_ASSERT(parser.push("data: x\n"));
        CPPUNIT_ASSERT(!parser.is_between_events());
        CPPUNIT_ASSERT(parser.push("\n"));
        CPPUNIT_ASSERT(parser.is_between_events());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_stream_parser_test);

} // namespace
