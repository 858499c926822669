// Guards against requests that a stopping host has read and drops: each gets a
// response before the process ends, whatever it waits for.

#include "raw_caller.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <csignal>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using platform_adapter::test::event;
using platform_adapter::test::fake_server;
using platform_adapter::test::sleep;
using platform_adapter::test::testbed;
using shutdown_test::raw_caller;
using std::chrono::milliseconds;

using handler = fake_server::request_handler;
using answer = std::optional<http::response>;

constexpr int beyond_the_end_ms = 20'000;

handler never_respond()
{
    return [](http::exchange& exchange) -> boost::asio::awaitable<void> {
        co_await sleep(exchange, beyond_the_end_ms);
    };
}

// Sends the head and some bytes of the body, and nothing further.
handler stall_after(unsigned status, std::string bytes)
{
    return [status,
            bytes](http::exchange& exchange) -> boost::asio::awaitable<void> {
        [[maybe_unused]] const auto started = co_await exchange.start_stream(
            status, fake_server::signed_fields(exchange));
        [[maybe_unused]] const auto sent = co_await exchange.write_chunk(bytes);
        co_await sleep(exchange, beyond_the_end_ms);
    };
}

bool starts_with_status(const std::string& text, const std::string& status)
{
    return text.rfind("HTTP/1.1 " + status + " ", 0) == 0;
}

class stopping_host_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(stopping_host_test);
    CPPUNIT_TEST(test_a_stream_that_waits_is_refused_at_once);
    CPPUNIT_TEST(test_a_stream_without_a_head_is_answered);
    CPPUNIT_TEST(test_a_failure_with_a_stalled_body_is_answered);
    CPPUNIT_TEST(test_a_call_without_a_response_is_answered);
    CPPUNIT_TEST(test_no_retry_is_begun_too_late);
    CPPUNIT_TEST(test_a_request_with_a_partial_body_is_refused);
    CPPUNIT_TEST(test_a_request_with_a_partial_head_is_refused);
    CPPUNIT_TEST(test_a_stream_that_would_be_cut_is_not_begun);
    CPPUNIT_TEST(test_a_late_stream_of_unknown_length_is_not_begun);
    CPPUNIT_TEST(test_a_host_that_notices_its_end_late_answers);
    CPPUNIT_TEST_SUITE_END();

public:
    // The signal reaches every host in the process, so that only one lives.
    void setUp() override { testbed_ = std::make_unique<testbed>(); }

    void tearDown() override { testbed_.reset(); }

private:
    std::unique_ptr<testbed> testbed_;

    // The process ends this long after it was told to stop, less a margin.
    void set_grace(milliseconds grace)
    {
        testbed_->run_on_host<bool>([grace](entry::entry_process& process) {
            process.context().settings.stop_grace = grace;
            return true;
        });
    }

    void start(const handler& handle, milliseconds grace = milliseconds(1500))
    {
        testbed_->first_server().set_handler(handle);
        testbed_->start_with_first_server();
        set_grace(grace);
    }

    std::future<answer> begin_call(const std::string& path)
    {
        return std::async(std::launch::async, [this, path] {
            return testbed_->try_call(path, "body");
        });
    }

    void wait_for_arrival(const std::string& path)
    {
        testbed::wait_until("request at the server", [this, &path] {
            return testbed_->first_server().count(path) > 0;
        });
    }

    static void check_refused(const answer& response)
    {
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(503U, response->status);
        CPPUNIT_ASSERT(response->fields.find("Retry-After"));
        CPPUNIT_ASSERT(response->body.find("not_run") != std::string::npos);
    }

    // The server may have run the request, so that nothing else is true.
    static void check_unknown(const answer& response)
    {
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(502U, response->status);
        CPPUNIT_ASSERT(response->body.find("unknown") != std::string::npos);
    }

    void test_a_stream_that_waits_is_refused_at_once()
    {
        testbed_->set_token_usage("9000,900");
        start(stall_after(200, event(1)), milliseconds(8000));
        auto running = begin_call("/stream/first");
        wait_for_arrival("/stream/first");
        auto waiting = begin_call("/stream/second");
        testbed::wait_until("a waiting request", [this] {
            return testbed_->run_on_host<bool>(
                [](entry::entry_process& process) {
                    return process.context().queue.size() > 0;
                });
        });
        std::raise(SIGTERM);
        CPPUNIT_ASSERT(
            waiting.wait_for(milliseconds(500)) == std::future_status::ready);
        check_refused(waiting.get());
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_->first_server().count("/stream/second"));
    }

    void test_a_stream_without_a_head_is_answered()
    {
        start(never_respond());
        auto sent = begin_call("/stream/");
        wait_for_arrival("/stream/");
        std::raise(SIGTERM);
        check_unknown(sent.get());
    }

    void test_a_failure_with_a_stalled_body_is_answered()
    {
        start(stall_after(500, "fail"));
        auto sent = begin_call("/stream/");
        wait_for_arrival("/stream/");
        std::raise(SIGTERM);
        check_unknown(sent.get());
    }

    void test_a_call_without_a_response_is_answered()
    {
        start(never_respond());
        auto sent = begin_call("/plain/");
        wait_for_arrival("/plain/");
        std::raise(SIGTERM);
        check_unknown(sent.get());
    }

    void test_no_retry_is_begun_too_late()
    {
        start(never_respond());
        testbed_->second_server().set_handler(never_respond());
        testbed_->register_server(testbed_->second_server(), "ready");
        auto sent = begin_call("/again/");
        testbed::wait_until(
            "request at a server", [this] { return arrivals("/again/") > 0; });
        std::raise(SIGTERM);
        check_unknown(sent.get());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, arrivals("/again/"));
    }

    std::size_t arrivals(const std::string& path)
    {
        return testbed_->first_server().count(path) +
               testbed_->second_server().count(path);
    }

    void check_partial_request_is_refused(const std::string& bytes)
    {
        start(never_respond());
        raw_caller caller(testbed_->callers());
        caller.write(bytes);
        // The host has to have read some of it.
        std::this_thread::sleep_for(milliseconds(100));
        std::raise(SIGTERM);
        const std::string response = caller.read_all();
        CPPUNIT_ASSERT_MESSAGE(response, starts_with_status(response, "503"));
        CPPUNIT_ASSERT(response.find("Retry-After") != std::string::npos);
        CPPUNIT_ASSERT(response.find("not_run") != std::string::npos);
    }

    void test_a_request_with_a_partial_body_is_refused()
    {
        check_partial_request_is_refused("POST /plain/ HTTP/1.1\r\n"
                                         "Host: a.example\r\n"
                                         "Content-Length: 100\r\n\r\npart");
    }

    void test_a_request_with_a_partial_head_is_refused()
    {
        check_partial_request_is_refused("POST /plain/ HTTP/1.1\r\nHost: a.ex");
    }

    void test_a_stream_that_would_be_cut_is_not_begun()
    {
        start(
            [](http::exchange& exchange) -> boost::asio::awaitable<void> {
                co_await platform_adapter::test::respond_with_event(exchange);
            },
            milliseconds(8000));
        std::raise(SIGTERM);
        testbed::wait_until(
            "the signal", [this] { return !testbed_->is_ready(); });
        testbed_->set_token_usage("100,5000");
        check_refused(testbed_->try_call("/stream/long", "body"));
        testbed_->set_token_usage("100,16");
        const answer served = testbed_->try_call("/stream/short", "body");
        CPPUNIT_ASSERT(served);
        CPPUNIT_ASSERT_EQUAL(200U, served->status);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_->first_server().count("/stream/long"));
    }

    void test_a_late_stream_of_unknown_length_is_not_begun()
    {
        start(never_respond(), milliseconds(6000));
        std::raise(SIGTERM);
        std::this_thread::sleep_for(milliseconds(2300));
        raw_caller caller(testbed_->callers());
        std::this_thread::sleep_for(milliseconds(500));
        caller.write("POST /stream/late HTTP/1.1\r\nHost: a.example\r\n"
                     "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n");
        const std::string response = caller.read_all();
        CPPUNIT_ASSERT_MESSAGE(response, starts_with_status(response, "503"));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, testbed_->first_server().count("/stream/late"));
    }

    void test_a_host_that_notices_its_end_late_answers()
    {
        start(never_respond());
        auto sent = begin_call("/plain/");
        wait_for_arrival("/plain/");
        std::raise(SIGTERM);
        testbed::wait_until(
            "the signal", [this] { return !testbed_->is_ready(); });
        testbed_->suspend(std::chrono::seconds(2), [] {});
        check_unknown(sent.get());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(stopping_host_test);
