// Guards against a bad version that gets more requests than permitted, an order
// that is not carried out, and a recorded state that is replaced.

#include "fake_neighbours.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <godwit/platform_adapter/rollout_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;
using std::chrono::milliseconds;

class rollout_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(rollout_test);
    CPPUNIT_TEST(test_orders_are_read);
    CPPUNIT_TEST(test_malformed_orders_are_refused);
    CPPUNIT_TEST(test_recorded_states_are_read);
    CPPUNIT_TEST(test_a_good_version_is_completed);
    CPPUNIT_TEST(test_a_bad_version_is_rolled_back);
    CPPUNIT_TEST(test_a_version_without_servers_is_rolled_back);
    CPPUNIT_TEST(test_a_withdrawn_order_is_rolled_back);
    CPPUNIT_TEST(test_an_order_of_a_missing_service_changes_nothing);
    CPPUNIT_TEST(test_a_recorded_end_is_adopted_by_a_host_that_starts);
    CPPUNIT_TEST(test_neighbours_report_a_rollback_without_the_store);
    CPPUNIT_TEST(test_a_state_that_a_restored_store_lost_is_recorded_again);
    CPPUNIT_TEST(test_a_rollout_ends_while_a_zone_is_evacuated);
    CPPUNIT_TEST(test_a_target_whose_servers_drain_is_not_completed);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;
    std::atomic<bool> is_target_bad_ = false;

    void test_orders_are_read()
    {
        const auto order = read_rollout_order(
            "rollout/lm", R"({"service":"lm","to":"v2","duration_s":2.5})", {});
        CPPUNIT_ASSERT(order->target == placement::server_version("v2"));
        CPPUNIT_ASSERT(order->duration == milliseconds(2500));
    }

    void test_malformed_orders_are_refused()
    {
        for (const char* text :
             {"",
              "[]",
              "{}",
              R"({"service":"lm","to":"v2"})",
              R"({"service":"lm","to":"v2","duration_s":0})",
              R"({"service":"lm","to":"v2","duration_s":"9"})",
              R"({"service":"lm","to":"","duration_s":9})",
              R"({"service":"lm","to":7,"duration_s":9})",
              R"({"service":"other","to":"v2","duration_s":9})"})
            CPPUNIT_ASSERT_MESSAGE(
                text, !read_rollout_order("rollout/lm", text, {}));
        CPPUNIT_ASSERT(!read_rollout_order(
            "rollout/", R"({"service":"","to":"v2","duration_s":9})", {}));
    }

    void test_recorded_states_are_read()
    {
        const rollout::rollout_status status{
            {core::service_name("lm"),
             placement::server_version("v2"),
             milliseconds(9000),
             {3, 70}},
            {},
            rollout::rollout_state::rolled_back};
        const auto read = read_rollout_record(write_rollout_record(status));
        CPPUNIT_ASSERT(
            *read ==
            (rollout_record{
                status.order.target, status.state, status.order.revision}));
        CPPUNIT_ASSERT(!read_rollout_record(R"({"state":"x","to":"v2"})"));
        CPPUNIT_ASSERT(
            !read_rollout_record(R"({"state":"running","to":"v2"})")->revision);
    }

    // The first server has the former version, the second one the target.
    void start()
    {
        testbed_.first_server().set_version("v1");
        testbed_.second_server().set_version("v2");
        testbed_.first_server().set_handler([](http::exchange& exchange) {
            return respond_with_event(exchange);
        });
        testbed_.second_server().set_handler([this](http::exchange& exchange) {
            return respond_with_event(exchange, is_target_bad_ ? 500 : 200);
        });
        testbed_.publish(1);
        testbed_.register_server(testbed_.first_server(), "ready");
        testbed::wait_until(
            "readiness", [this] { return testbed_.is_ready(); });
    }

    void order(const std::string& duration_s)
    {
        testbed_.store().put(
            "keyed.op",
            "rollout/lm",
            R"({"service":"lm","to":"v2","duration_s":)" + duration_s + "}");
        wait_for_state("running");
    }

    void wait_for_state(const std::string& state)
    {
        testbed::wait_until(state, [this, &state] {
            const auto found =
                testbed_.store().find("keyed.status", "rollout/lm");
            if (!found)
                return false;
            const auto read = read_rollout_record(found->second);
            return read && rollout::to_string(read->state) == state;
        });
    }

    std::size_t requests_at_target()
    {
        return testbed_.second_server().count("/again/");
    }

    /// Sends some 150 requests a second, each of which may use another version.
    void call_until(const std::function<bool()>& is_done, int most)
    {
        for (int count = 0; count < most && !is_done(); ++count) {
            testbed_.set_attempt_id("id-" + std::to_string(count));
            CPPUNIT_ASSERT(testbed_.call("POST", "/again/").status != 503U);
            std::this_thread::sleep_for(milliseconds(5));
        }
    }

    void test_a_good_version_is_completed()
    {
        start();
        order("1");
        testbed_.register_server(testbed_.second_server(), "ready");
        wait_for_state("completed");
        const std::size_t before = testbed_.first_server().count("/again/");
        for (int count = 0; count < 20; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
        CPPUNIT_ASSERT(requests_at_target() > 0);
        CPPUNIT_ASSERT(
            testbed_.get_operator_page("/state").body.find(
                R"("state":"completed","recorded":true)") != std::string::npos);
        testbed_.register_server(testbed_.first_server(), "draining");
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
        CPPUNIT_ASSERT(testbed_.first_server().count("/again/") <= before + 20);
    }

    void test_a_bad_version_is_rolled_back()
    {
        start();
        is_target_bad_ = true;
        testbed_.register_server(testbed_.second_server(), "ready");
        order("60");
        testbed_.run_on_host<bool>([](entry::entry_process& process) {
            process.context().rollouts.set_max_exposure(1.0);
            return true;
        });
        call_until(
            [this] {
                return testbed_.run_on_host<bool>([](auto& process) {
                    return !process.context().rollouts.is_running(
                        core::service_name("lm"));
                });
            },
            2000);
        wait_for_state("rolled_back");
        const std::size_t before = requests_at_target();
        CPPUNIT_ASSERT(before < 50);
        for (int count = 0; count < 100; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
        CPPUNIT_ASSERT_EQUAL(before, requests_at_target());
    }

    void test_a_version_without_servers_is_rolled_back()
    {
        start();
        order("0.5");
        wait_for_state("rolled_back");
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
    }

    void test_a_withdrawn_order_is_rolled_back()
    {
        start();
        testbed_.register_server(testbed_.second_server(), "ready");
        order("60");
        testbed_.store().put("keyed.op", "rollout/lm", std::nullopt);
        wait_for_state("rolled_back");
        const std::size_t before = requests_at_target();
        for (int count = 0; count < 100; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
        CPPUNIT_ASSERT_EQUAL(before, requests_at_target());
    }

    void test_an_order_of_a_missing_service_changes_nothing()
    {
        start();
        testbed_.store().put(
            "keyed.op",
            "rollout/none",
            R"({"service":"none","to":"v2","duration_s":0.5})");
        testbed::wait_until("the state", [this] {
            return testbed_.store()
                .find("keyed.status", "rollout/none")
                .has_value();
        });
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
    }

    void test_a_recorded_end_is_adopted_by_a_host_that_starts()
    {
        testbed_.store().put(
            "keyed.op",
            "rollout/lm",
            R"({"service":"lm","to":"v2","duration_s":60})");
        testbed_.store().put(
            "keyed.status",
            "rollout/lm",
            R"({"state":"rolled_back","to":"v2","order_era":1,)"
            R"("order_offset":1})");
        start();
        testbed_.register_server(testbed_.second_server(), "ready");
        testbed::wait_until("the end", [this] {
            return testbed_.run_on_host<bool>([](auto& process) {
                const auto* known =
                    process.context().rollouts.find(core::service_name("lm"));
                return known != nullptr &&
                       known->state == rollout::rollout_state::rolled_back;
            });
        });
        for (int count = 0; count < 50; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, requests_at_target());
    }

    void test_neighbours_report_a_rollback_without_the_store()
    {
        start();
        testbed_.register_server(testbed_.second_server(), "ready");
        testbed_.store().set_status(503);
        fake_neighbours others(1, testbed_.neighbours(), [](const wire::pull&) {
            return std::optional<wire::message>();
        });
        others.announce_table_version(1);
        wire::rollout reported{core::service_name("lm"), "v2", 60000, 0, 1, 70};
        reported.state = wire::rollout_state::rolled_back;
        others.broadcast(wire::rollout_reports{{reported}});
        testbed::wait_until("the rollback", [this] {
            return testbed_.run_on_host<bool>([](auto& process) {
                return process.context().rollouts.find(
                           core::service_name("lm")) != nullptr;
            });
        });
        const std::size_t before = requests_at_target();
        for (int count = 0; count < 50; ++count)
            CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
        CPPUNIT_ASSERT_EQUAL(before, requests_at_target());
    }

    void test_a_state_that_a_restored_store_lost_is_recorded_again()
    {
        start();
        testbed_.register_server(testbed_.second_server(), "ready");
        testbed_.store().back_up();
        order("1");
        wait_for_state("completed");
        testbed_.store().restore(
            {{"keyed.op",
              "rollout/lm",
              R"({"service":"lm","to":"v2","duration_s":1})"}});
        CPPUNIT_ASSERT(!testbed_.store().has("keyed.status", "rollout/lm"));
        wait_for_state("completed");
        const std::size_t before = testbed_.first_server().count("/again/");
        testbed_.register_server(testbed_.first_server(), "draining");
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
        CPPUNIT_ASSERT_EQUAL(before, testbed_.first_server().count("/again/"));
    }

    // The target has servers in the evacuated zone only.
    void test_a_rollout_ends_while_a_zone_is_evacuated()
    {
        testbed_.second_server().set_zone("west");
        start();
        testbed_.register_server(testbed_.second_server(), "ready");
        order("1");
        testbed_.store().put("keyed.op", "evacuate/west", "{}");
        testbed::wait_until("the evacuation", [this] {
            return testbed_.run_on_host<bool>([](auto& process) {
                return process.context().evacuations.is_evacuated(
                    core::zone_name("west"));
            });
        });
        const std::size_t before = requests_at_target();
        call_until([] { return false; }, 60);
        CPPUNIT_ASSERT_EQUAL(before, requests_at_target());
        wait_for_state("rolled_back");
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
    }

    void test_a_target_whose_servers_drain_is_not_completed()
    {
        start();
        testbed_.register_server(testbed_.second_server(), "ready");
        order("1");
        testbed_.register_server(testbed_.second_server(), "draining");
        const std::size_t before = requests_at_target();
        call_until([] { return false; }, 40);
        CPPUNIT_ASSERT_EQUAL(before, requests_at_target());
        wait_for_state("rolled_back");
        CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", "/again/").status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(rollout_test);

} // namespace
