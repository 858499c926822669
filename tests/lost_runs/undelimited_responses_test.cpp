// Guards against taking the end of a connection for the end of a response, or
// for a crash, where the response has neither a length nor chunks.

#include "raw_server.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace {

using namespace godwit;
using godwit::platform_adapter::test::testbed;
using godwit::test::connection_end;
using godwit::test::raw_server;

const std::string head = "HTTP/1.1 200 OK\r\n"
                         "X-Godwitworks-Attempt-Id: a1\r\n"
                         "X-Godwitworks-Replica-Signature: signed\r\n"
                         "\r\n";
const std::string two_events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

class undelimited_responses_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(undelimited_responses_test);
    CPPUNIT_TEST(test_a_whole_stream_completes);
    CPPUNIT_TEST(test_a_stream_that_ends_inside_an_event_is_a_lost_run);
    CPPUNIT_TEST(test_a_stream_without_an_event_is_a_lost_run);
    CPPUNIT_TEST(test_a_stream_that_is_reset_is_a_lost_run);
    CPPUNIT_TEST(test_a_whole_buffered_response_completes);
    CPPUNIT_TEST(test_a_buffered_response_that_is_reset_is_a_lost_run);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;
    std::unique_ptr<raw_server> server_;

    std::optional<http::response> respond_with(
        const std::string& path, const std::string& body, connection_end end)
    {
        server_ = std::make_unique<raw_server>(head + body, end);
        testbed_.publish(1);
        testbed_.store().put(
            "keyed.servers",
            "i-raw",
            R"({"service":"lm","address":")" + server_->address() +
                R"(","zone":"east","version":"v1","slots":4,)"
                R"("state":"ready","sequence":1})");
        testbed::wait_until("readiness", [this] {
            return testbed_.is_ready() &&
                   testbed_.run_on_host<bool>(
                       [](entry::entry_process& process) {
                           return process.context().directory.is_usable(
                               placement::server_id("i-raw"));
                       });
        });
        return testbed_.try_call(path, "body");
    }

    // Waits for the probe of the server that ended.
    std::uint64_t recorded_crashes()
    {
        testbed::wait_until("the probe", [this] {
            return testbed_.run_on_host<bool>(
                [](entry::entry_process& process) {
                    return process.context().crash_probes.empty();
                });
        });
        return testbed_.run_on_host<std::uint64_t>(
            [](entry::entry_process& process) {
                return process.context().quarantine.size();
            });
    }

    void check_lost(const std::optional<http::response>& response)
    {
        CPPUNIT_ASSERT(!response || response->status != 200U);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, recorded_crashes());
    }

    void test_a_whole_stream_completes()
    {
        const auto response =
            respond_with("/stream/", two_events, connection_end::fin);
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(200U, response->status);
        CPPUNIT_ASSERT_EQUAL(two_events, response->body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, recorded_crashes());
    }

    void test_a_stream_that_ends_inside_an_event_is_a_lost_run()
    {
        check_lost(respond_with(
            "/stream/", two_events + "id: 3\nda", connection_end::fin));
    }

    void test_a_stream_without_an_event_is_a_lost_run()
    {
        check_lost(respond_with("/stream/", "", connection_end::fin));
    }

    void test_a_stream_that_is_reset_is_a_lost_run()
    {
        check_lost(respond_with("/stream/", two_events, connection_end::reset));
    }

    void test_a_whole_buffered_response_completes()
    {
        const auto response =
            respond_with("/plain/", "hello", connection_end::fin);
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(200U, response->status);
        CPPUNIT_ASSERT_EQUAL(std::string("hello"), response->body);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, recorded_crashes());
    }

    void test_a_buffered_response_that_is_reset_is_a_lost_run()
    {
        check_lost(respond_with("/plain/", "hello", connection_end::reset));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(undelimited_responses_test);

} // namespace
