// Guards against attempts, collected responses and tunnels that hold more than
// the account of what clients make a host hold.

#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <godwit/memory/client_account.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;

// Room for a caller's connection, and not for an exchange with a server too.
constexpr std::size_t connection_room = std::size_t{40} * 1024;

class host_memory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(host_memory_test);
    CPPUNIT_TEST(test_a_call_without_room_is_refused_before_it_is_sent);
    CPPUNIT_TEST(test_a_stream_without_room_is_refused_before_it_is_sent);
    CPPUNIT_TEST(test_a_response_without_room_is_no_success);
    CPPUNIT_TEST(test_all_room_comes_back_after_calls);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;
    std::atomic<int> runs_ = 0;
    std::deque<memory::client_account::holder> taken_;

    fake_server::request_handler count_and_answer(std::size_t body_bytes)
    {
        return [this,
                body_bytes](http::exchange& exchange) -> asio::awaitable<void> {
            ++runs_;
            http::response answer;
            answer.fields = fake_server::signed_fields(exchange);
            answer.body = std::string(body_bytes, 'x');
            [[maybe_unused]] const auto sent =
                co_await exchange.respond(std::move(answer));
        };
    }

    void begin(std::size_t body_bytes)
    {
        testbed_.first_server().set_handler(count_and_answer(body_bytes));
        testbed_.second_server().set_handler(count_and_answer(body_bytes));
        testbed_.start();
        runs_ = 0;
    }

    /// Takes all of the account but `left` bytes.
    void take_all_but(std::size_t left)
    {
        testbed_.run_on_host<bool>([this, left](entry::entry_process& process) {
            auto& account = *process.context().account;
            const std::size_t total = account.limits().total.bytes;
            const std::size_t share = account.limits().small_bytes;
            while (account.used().bytes + left < total) {
                const std::size_t free = total - left - account.used().bytes;
                taken_.push_back(account.open(
                    memory::activity::serving, core::monotonic_now()));
                taken_.back().take_existing({std::min(share, free), 0});
            }
            return true;
        });
    }

    void give_back_all()
    {
        testbed_.run_on_host<bool>([this](entry::entry_process&) {
            taken_.clear();
            return true;
        });
    }

    void check_refused(const std::optional<http::response>& response)
    {
        CPPUNIT_ASSERT(response);
        CPPUNIT_ASSERT_EQUAL(503U, response->status);
        CPPUNIT_ASSERT(
            response->body.find("\"no_memory\"") != std::string::npos);
        CPPUNIT_ASSERT(response->body.find("\"not_run\"") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(
            std::string("1.00"),
            std::string(response->fields.find("Retry-After").value_or("")));
        CPPUNIT_ASSERT_EQUAL(0, runs_.load());
    }

    void test_a_call_without_room_is_refused_before_it_is_sent()
    {
        begin(5);
        take_all_but(connection_room);
        check_refused(testbed_.try_call("/plain/", "body"));
        give_back_all();
        const auto served = testbed_.try_call("/plain/", "body");
        CPPUNIT_ASSERT(served);
        CPPUNIT_ASSERT_EQUAL(200U, served->status);
    }

    void test_a_stream_without_room_is_refused_before_it_is_sent()
    {
        begin(5);
        take_all_but(connection_room);
        check_refused(testbed_.try_call("/stream/", "body"));
    }

    void test_a_response_without_room_is_no_success()
    {
        constexpr std::size_t response_bytes = std::size_t{1024} * 1024;
        begin(response_bytes);
        take_all_but(connection_room + response_bytes / 2);
        const auto cut = testbed_.try_call("/plain/", "body");
        CPPUNIT_ASSERT(cut);
        CPPUNIT_ASSERT_EQUAL(502U, cut->status);
        give_back_all();
        const auto whole = testbed_.try_call("/plain/", "body");
        CPPUNIT_ASSERT(whole);
        CPPUNIT_ASSERT_EQUAL(200U, whole->status);
        CPPUNIT_ASSERT_EQUAL(response_bytes, whole->body.size());
    }

    void test_all_room_comes_back_after_calls()
    {
        begin(std::size_t{300} * 1024);
        for (int count = 0; count < 5; ++count) {
            const auto served =
                testbed_.try_call("/plain/", std::string(200'000, 'b'));
            CPPUNIT_ASSERT(served);
            CPPUNIT_ASSERT_EQUAL(200U, served->status);
        }
        testbed::wait_until("all room to come back", [this] {
            return testbed_.run_on_host<bool>(
                [](entry::entry_process& process) {
                    return process.context().account->used() ==
                           memory::amounts();
                });
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_memory_test);

} // namespace
