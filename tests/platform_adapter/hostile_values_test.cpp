// Whoever sends a number or a list of names chooses how much work and memory
// it asks for. A time that does not fit the clock went round and was over
// before it began. A field that lists names was read again for each other
// field: one head of 64 KiB held up everything that the host serves for two
// seconds. A version that is no whole number became the highest of all, and
// no later table was ever taken. A body limit beyond all memory let one
// caller's length end the process.

#include "testbed.hpp"

#include <godwit/platform_adapter/request_codec.hpp>
#include <godwit/platform_adapter/table_codec.hpp>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <ctime>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter;
namespace asio = boost::asio;

double processor_seconds()
{
    timespec now{};
    ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) * 1e-9;
}

class hostile_values_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(hostile_values_test);
    CPPUNIT_TEST(test_a_deadline_beyond_the_clock_is_far_away);
    CPPUNIT_TEST(test_names_that_a_head_lists_are_read_once);
    CPPUNIT_TEST(test_a_table_version_is_a_whole_number);
    CPPUNIT_TEST(test_a_body_limit_beyond_memory_is_not_taken_over);
    CPPUNIT_TEST_SUITE_END();

    void test_a_deadline_beyond_the_clock_is_far_away()
    {
        http::header_fields fields;
        fields.set("X-Godwitworks-Deadline-Ms", "9223372036854775807");
        const auto left =
            request_codec::read_request_metadata(fields).time_left;
        CPPUNIT_ASSERT(left);
        CPPUNIT_ASSERT(*left >= std::chrono::hours(24));
        // Added to the present moment, too.
        CPPUNIT_ASSERT(*left <= std::chrono::hours(24 * 366));
    }

    void test_names_that_a_head_lists_are_read_once()
    {
        constexpr std::size_t half = std::size_t{32} * 1024;
        http::header_fields fields;
        fields.add("Connection", std::string(half, ',') + "b");
        for (std::size_t size = 0; size < half; size += 6)
            fields.add("a", "x");
        fields.add("B", "x");
        const double before = processor_seconds();
        const auto returned = request_codec::returned_fields(fields);
        CPPUNIT_ASSERT(!returned.find("b"));
        CPPUNIT_ASSERT(returned.find("a"));
        CPPUNIT_ASSERT(processor_seconds() - before < 0.4);
    }

    void test_a_table_version_is_a_whole_number()
    {
        for (const char* version : {"-1", "1e300", "18446744073709551616"}) {
            const auto read =
                read_table(R"({"version":)" + std::string(version) + "}");
            CPPUNIT_ASSERT_MESSAGE(version, !read);
        }
        CPPUNIT_ASSERT(read_table(R"({"version":7})"));
    }

    // Memory for a body is set aside when its first byte comes.
    void test_a_body_limit_beyond_memory_is_not_taken_over()
    {
        test::testbed testbed;
        testbed.start();
        testbed.store().put(
            "keyed.op",
            "config",
            R"({"version":7,"limits":{"max_body_bytes":1e15}})");
        test::testbed::wait_until(
            "the table", [&testbed] { return testbed.table_version() == 7; });
        asio::io_context io;
        asio::ip::tcp::socket caller(io);
        caller.connect(
            {asio::ip::make_address("127.0.0.1"), testbed.callers().port()});
        const std::string head = "POST /plain/a HTTP/1.1\r\nHost: a.example\r\n"
                                 "Content-Length: 999999999999999\r\n\r\n";
        asio::write(caller, asio::buffer(head));
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        boost::system::error_code ignored;
        asio::write(caller, asio::buffer("x", 1), ignored);
        std::array<char, 12> answer{};
        asio::read(caller, asio::buffer(answer));
        CPPUNIT_ASSERT_EQUAL(
            std::string("HTTP/1.1 413"),
            std::string(answer.data(), answer.size()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(hostile_values_test);

} // namespace
