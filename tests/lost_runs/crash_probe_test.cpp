// Guards against taking another server, at the address of one that crashed, for
// that server.

#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <cstdint>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;

constexpr unsigned misdirected = 421;

// Loses the run of each request. Reports come from the server `id`, which
// rejects what is meant for another one.
fake_server::request_handler
lose_runs_and_report_as(const std::string& id, std::atomic<unsigned>& reports)
{
    return [id, &reports](http::exchange& exchange) -> asio::awaitable<void> {
        const http::request& received = exchange.received();
        if (received.target != "/api/report") {
            exchange.cut();
            co_return;
        }
        ++reports;
        const auto expected =
            received.fields.find("X-Godwitworks-Expect-Replica");
        http::response response;
        response.status = expected && *expected != id ? misdirected : 200;
        response.body = R"({"state":"ready"})";
        [[maybe_unused]] const auto sent =
            co_await exchange.respond(std::move(response));
    };
}

class crash_probe_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(crash_probe_test);
    CPPUNIT_TEST(
        test_a_server_that_replaced_the_crashed_one_is_no_sign_of_life);
    CPPUNIT_TEST(test_a_server_that_lost_a_run_and_works_did_not_crash);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;
    std::atomic<unsigned> reports_ = 0;

    std::uint64_t recorded_crashes(const std::string& id_after_the_loss)
    {
        testbed_.first_server().set_handler(
            lose_runs_and_report_as(id_after_the_loss, reports_));
        testbed_.start_with_first_server();
        [[maybe_unused]] const auto lost = testbed_.try_call("/plain/", "body");
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

    void test_a_server_that_replaced_the_crashed_one_is_no_sign_of_life()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, recorded_crashes("i-new"));
        CPPUNIT_ASSERT(reports_ > 0);
    }

    void test_a_server_that_lost_a_run_and_works_did_not_crash()
    {
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, recorded_crashes("i-1"));
        CPPUNIT_ASSERT(reports_ > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_probe_test);

} // namespace
