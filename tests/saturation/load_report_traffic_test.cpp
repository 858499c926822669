// Guards against load reports that fill the network link of a host with many
// requests: each new request sent the host's whole load to every neighbour.

#include "fake_neighbours.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <godwit/wire/codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace godwit;
using platform_adapter::test::fake_neighbours;
using platform_adapter::test::fake_server;
using platform_adapter::test::testbed;

class load_report_traffic_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_report_traffic_test);
    CPPUNIT_TEST(test_load_reports_leave_the_link_to_requests);
    CPPUNIT_TEST(test_load_is_reported_at_once_while_there_is_room);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t neighbours = 8;
    static constexpr double link_bytes_per_second = 50'000;
    // The share of the link that reports may use.
    static constexpr double report_share = 0.1;
    static constexpr std::chrono::seconds duration{3};

    testbed testbed_;
    std::unique_ptr<fake_neighbours> others_;

    static boost::asio::awaitable<void> respond(http::exchange& exchange)
    {
        co_await platform_adapter::test::sleep(exchange, 10);
        co_await platform_adapter::test::respond_with_event(exchange);
    }

    void start(double link_capacity)
    {
        for (fake_server* server :
             {&testbed_.first_server(), &testbed_.second_server()})
            server->set_handler(&respond);
        testbed_.start();
        testbed_.run_on_host<bool>([&](entry::entry_process& process) {
            process.context().link.set_capacity(link_capacity);
            return true;
        });
        others_ = std::make_unique<fake_neighbours>(
            neighbours, testbed_.neighbours(), [](const wire::pull&) {
                return std::nullopt;
            });
        testbed::wait_until("links", [this] { return others_->are_linked(); });
    }

    std::size_t report_bytes() const
    {
        std::size_t bytes = 0;
        for (const auto& [receiver, report] :
             others_->received<wire::host_work>())
            bytes += wire::encode(report).size();
        return bytes;
    }

    /// Sends requests from several callers at once; returns their number.
    unsigned call_for(std::chrono::seconds span)
    {
        constexpr std::size_t callers = 8;
        const auto end = std::chrono::steady_clock::now() + span;
        std::vector<std::future<unsigned>> counts;
        for (std::size_t caller = 0; caller < callers; ++caller)
            counts.push_back(std::async(std::launch::async, [this, end] {
                unsigned served = 0;
                while (std::chrono::steady_clock::now() < end) {
                    CPPUNIT_ASSERT_EQUAL(
                        200U, testbed_.call("POST", "/again/").status);
                    ++served;
                }
                return served;
            }));
        unsigned sum = 0;
        for (auto& count : counts)
            sum += count.get();
        return sum;
    }

    void test_load_reports_leave_the_link_to_requests()
    {
        start(link_bytes_per_second);
        const std::size_t before = report_bytes();
        const unsigned number = call_for(duration);
        const auto sent = static_cast<double>(report_bytes() - before);
        const double allowed = report_share * link_bytes_per_second *
                               std::chrono::duration<double>(duration).count();
        // What is saved up for a burst, and the report that overdraws it.
        constexpr double tolerance = 1.5;
        CPPUNIT_ASSERT_MESSAGE(
            std::to_string(sent) + " bytes for " + std::to_string(number) +
                " requests",
            sent <= tolerance * allowed);
    }

    void test_load_is_reported_at_once_while_there_is_room()
    {
        start(link_bytes_per_second * 1000);
        const std::size_t before = report_bytes();
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
        testbed::wait_until(
            "a report", [this, before] { return report_bytes() > before; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_report_traffic_test);

} // namespace
