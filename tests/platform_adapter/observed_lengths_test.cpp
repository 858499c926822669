// Guards against a host that starts without the output lengths its neighbours
// have observed, and against messages about them where that is not enabled.

#include "fake_neighbours.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <optional>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;

class observed_lengths_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(observed_lengths_test);
    CPPUNIT_TEST(test_a_restarted_neighbour_receives_the_sums_at_once);
    CPPUNIT_TEST(test_a_neighbours_sums_are_used);
    CPPUNIT_TEST(test_malformed_sums_change_nothing);
    CPPUNIT_TEST(test_nothing_is_sent_without_the_setting);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int runs = 25;

    testbed testbed_;

    static std::optional<wire::message> no_table(const wire::pull& /*pull*/)
    {
        return std::nullopt;
    }

    static boost::asio::awaitable<void> respond(http::exchange& exchange)
    {
        return platform_adapter::test::respond_with_event(exchange);
    }

    void start(bool learns_lengths)
    {
        testbed_.first_server().set_handler(&respond);
        testbed_.second_server().set_handler(&respond);
        testbed_.start();
        testbed_.store().put("keyed.hosts", "n0", "127.0.0.1:1/east");
        testbed::wait_until("the other host", [this] {
            return testbed_.run_on_host<bool>(
                [](entry::entry_process& process) {
                    return process.fleet_size() == 2;
                });
        });
        testbed_.run_on_host<bool>(
            [learns_lengths](entry::entry_process& process) {
                process.context().settings.learns_lengths = learns_lengths;
                return true;
            });
    }

    void run_streams()
    {
        for (int each = 0; each < runs; ++each) {
            const auto response = testbed_.try_stream();
            CPPUNIT_ASSERT(response && response->status == 200);
        }
    }

    bool knows_lengths()
    {
        return testbed_.run_on_host<bool>([](entry::entry_process& process) {
            return process.context()
                .statistics
                .observe(
                    "stream",
                    core::service_name("lm"),
                    0,
                    core::monotonic_now())
                .has_value();
        });
    }

    static bool has_sums_of_all_runs(const fake_neighbours& others)
    {
        const auto messages = others.received<wire::length_sums>();
        return std::any_of(
            messages.begin(), messages.end(), [](const auto& received) {
                for (const wire::route_lengths& each : received.second.routes) {
                    float ended = 0;
                    for (const float weight : each.ended)
                        ended += weight;
                    if (each.route == "stream" && ended >= 15)
                        return true;
                }
                return false;
            });
    }

    void test_a_restarted_neighbour_receives_the_sums_at_once()
    {
        start(true);
        {
            fake_neighbours others(1, testbed_.neighbours(), &no_table);
            others.announce_table_version(1);
            run_streams();
            testbed::wait_until(
                "the sums", [&others] { return has_sums_of_all_runs(others); });
        }
        // Nothing runs any more, so that no later message brings the sums.
        fake_neighbours restarted(1, testbed_.neighbours(), &no_table);
        testbed::wait_until("the sums on the new link", [&restarted] {
            return has_sums_of_all_runs(restarted);
        });
    }

    void test_a_neighbours_sums_are_used()
    {
        start(true);
        CPPUNIT_ASSERT(!knows_lengths());
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        others.broadcast(
            wire::length_sums{{{"stream", {0, 50}, {50}, 0, 0, 0}}, {}});
        testbed::wait_until("the lengths", [this] { return knows_lengths(); });
    }

    void test_malformed_sums_change_nothing()
    {
        start(true);
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        for (const float wrong :
             {-50.0F, 1e30F, std::numeric_limits<float>::quiet_NaN()})
            others.broadcast(wire::length_sums{
                {{"stream", {0, wrong}, {50}, 0, 0, 0}},
                {{"lm", wrong, 50, wrong, 50}}});
        testbed::wait_until("the refusal", [this] {
            return testbed_.get_operator_page("/metrics")
                       .body.find("godwit_refused_length_sums_total 6") !=
                   std::string::npos;
        });
        CPPUNIT_ASSERT(!knows_lengths());
        const auto response = testbed_.try_stream();
        CPPUNIT_ASSERT(response && response->status == 200);
    }

    void test_nothing_is_sent_without_the_setting()
    {
        start(false);
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        others.announce_table_version(1);
        run_streams();
        std::this_thread::sleep_for(
            entry::generation_statistics::send_interval +
            std::chrono::milliseconds(200));
        CPPUNIT_ASSERT(others.received<wire::length_sums>().empty());
        CPPUNIT_ASSERT(!knows_lengths());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(observed_lengths_test);

} // namespace
