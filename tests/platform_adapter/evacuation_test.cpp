// Guards against requests to the servers of an evacuated availability zone.

#include "fake_neighbours.hpp"
#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

class evacuation_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(evacuation_test);
    CPPUNIT_TEST(test_an_evacuated_zone_gets_nothing_until_it_returns);
    CPPUNIT_TEST(test_requests_are_refused_at_once_if_all_zones_are_evacuated);
    CPPUNIT_TEST(test_two_zones_are_evacuated_independently);
    CPPUNIT_TEST(test_a_host_that_starts_during_an_evacuation_knows_it);
    CPPUNIT_TEST(test_an_evacuation_survives_compaction);
    CPPUNIT_TEST(test_an_evacuation_that_ended_in_a_gap_ends);
    CPPUNIT_TEST(test_an_evacuation_survives_a_restored_store);
    CPPUNIT_TEST(test_neighbours_report_evacuations_without_the_store);
    CPPUNIT_TEST(test_a_host_reports_evacuations_to_its_neighbours);
    CPPUNIT_TEST(test_an_evacuation_during_a_suspension_is_applied);
    CPPUNIT_TEST(test_unknown_zones_and_malformed_records_are_ignored);
    CPPUNIT_TEST(test_a_server_that_returns_is_presumed_cold);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;

    static std::optional<wire::message> no_table(const wire::pull& /*pull*/)
    {
        return std::nullopt;
    }

    // The first server is in "east", as the entry host is; the second in
    // "west".
    void start_in_two_zones()
    {
        prepare_servers();
        testbed_.start();
    }

    void prepare_servers()
    {
        testbed_.second_server().set_zone("west");
        for (fake_server* server :
             {&testbed_.first_server(), &testbed_.second_server()})
            server->set_handler([](http::exchange& exchange) {
                return respond_with_event(exchange);
            });
    }

    void evacuate(const std::string& zone)
    {
        testbed_.store().put("keyed.op", "evacuate/" + zone, "{}");
        wait_for_evacuation(zone, true);
    }

    void take_back(const std::string& zone)
    {
        testbed_.store().put("keyed.op", "evacuate/" + zone, std::nullopt);
        wait_for_evacuation(zone, false);
    }

    bool is_evacuated(const std::string& zone)
    {
        return testbed_.run_on_host<bool>([&zone](auto& process) {
            return process.context().evacuations.is_evacuated(
                core::zone_name(zone));
        });
    }

    void wait_for_evacuation(const std::string& zone, bool is_expected)
    {
        testbed::wait_until("the evacuation", [this, &zone, is_expected] {
            return is_evacuated(zone) == is_expected;
        });
    }

    std::size_t requests_at(fake_server& server)
    {
        return server.count("/plain/") + server.count("/stream/") +
               server.count("/again/");
    }

    void call_each()
    {
        for (int count = 0; count < 10; ++count) {
            for (const char* path : {"/plain/", "/stream/", "/again/"})
                CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", path).status);
        }
    }

    void test_an_evacuated_zone_gets_nothing_until_it_returns()
    {
        start_in_two_zones();
        call_each();
        CPPUNIT_ASSERT(requests_at(testbed_.first_server()) > 0);
        evacuate("east");
        const std::size_t before = requests_at(testbed_.first_server());
        call_each();
        CPPUNIT_ASSERT_EQUAL(before, requests_at(testbed_.first_server()));
        const std::string state = testbed_.get_operator_page("/state").body;
        CPPUNIT_ASSERT(
            state.find(R"("evacuated_zones":["east"])") != std::string::npos);
        const std::string metrics = testbed_.get_operator_page("/metrics").body;
        CPPUNIT_ASSERT(
            metrics.find("godwit_zones_evacuated 1") != std::string::npos);
        take_back("east");
        call_each();
        CPPUNIT_ASSERT(requests_at(testbed_.first_server()) > before);
    }

    void test_requests_are_refused_at_once_if_all_zones_are_evacuated()
    {
        start_in_two_zones();
        evacuate("east");
        evacuate("west");
        for (const char* path : {"/plain/", "/stream/", "/again/"}) {
            const auto started_at = clock_type::now();
            const auto answer = testbed_.call("POST", path);
            CPPUNIT_ASSERT_EQUAL(503U, answer.status);
            CPPUNIT_ASSERT(answer.fields.find("Retry-After"));
            CPPUNIT_ASSERT_EQUAL(
                std::string(
                    R"({"title":"zones_evacuated","outcome":"not_run"})"),
                answer.body);
            CPPUNIT_ASSERT(clock_type::now() - started_at < milliseconds(150));
        }
        take_back("west");
        call_each();
    }

    void test_two_zones_are_evacuated_independently()
    {
        start_in_two_zones();
        evacuate("west");
        evacuate("east");
        take_back("west");
        CPPUNIT_ASSERT(is_evacuated("east"));
        const std::size_t before = requests_at(testbed_.first_server());
        call_each();
        CPPUNIT_ASSERT_EQUAL(before, requests_at(testbed_.first_server()));
    }

    void test_a_host_that_starts_during_an_evacuation_knows_it()
    {
        testbed_.store().put("keyed.op", "evacuate/east", "{}");
        start_in_two_zones();
        call_each();
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, requests_at(testbed_.first_server()));
    }

    void test_an_evacuation_survives_compaction()
    {
        start_in_two_zones();
        evacuate("east");
        testbed_.publish(2);
        testbed_.store().compact();
        testbed_.publish(3);
        testbed::wait_until(
            "version 3", [this] { return testbed_.table_version() == 3; });
        CPPUNIT_ASSERT(is_evacuated("east"));
    }

    void test_an_evacuation_that_ended_in_a_gap_ends()
    {
        start_in_two_zones();
        evacuate("east");
        testbed_.store().set_status(503);
        std::this_thread::sleep_for(milliseconds(300));
        testbed_.store().put("keyed.op", "evacuate/east", std::nullopt);
        testbed_.store().compact();
        CPPUNIT_ASSERT(is_evacuated("east"));
        testbed_.store().set_status(0);
        wait_for_evacuation("east", false);
    }

    // The copy is from before the evacuation, which the operator repeats.
    void test_an_evacuation_survives_a_restored_store()
    {
        start_in_two_zones();
        testbed_.store().back_up();
        evacuate("east");
        const unsigned calls = testbed_.store().calls();
        testbed_.store().restore();
        testbed::wait_until("reads", [this, calls] {
            return testbed_.store().calls() >= calls + 6;
        });
        CPPUNIT_ASSERT(is_evacuated("east"));
        testbed_.store().put("keyed.op", "evacuate/east", "{}");
        std::this_thread::sleep_for(milliseconds(300));
        CPPUNIT_ASSERT(is_evacuated("east"));
        take_back("east");
    }

    void test_neighbours_report_evacuations_without_the_store()
    {
        prepare_servers();
        testbed_.start_without_store();
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        others.announce_table_version(1);
        const core::zone_name east("east");
        others.broadcast(wire::zone_evacuations{{{east, true, 1, 70}}});
        wait_for_evacuation("east", true);
        const std::size_t before = requests_at(testbed_.first_server());
        call_each();
        CPPUNIT_ASSERT_EQUAL(before, requests_at(testbed_.first_server()));
        others.broadcast(wire::zone_evacuations{{{east, false, 1, 71}}});
        wait_for_evacuation("east", false);
        others.broadcast(wire::zone_evacuations{{{east, true, 1, 70}}});
        std::this_thread::sleep_for(milliseconds(200));
        CPPUNIT_ASSERT(!is_evacuated("east"));
    }

    void test_a_host_reports_evacuations_to_its_neighbours()
    {
        start_in_two_zones();
        evacuate("west");
        fake_neighbours others(1, testbed_.neighbours(), &no_table);
        others.announce_table_version(1);
        const auto has = [&others](const std::string& zone, bool is_begun) {
            for (const wire::zone_evacuations& message : others.evacuations()) {
                for (const wire::zone_evacuation& each : message.zones) {
                    if (each.zone.value() == zone && each.evacuated == is_begun)
                        return true;
                }
            }
            return false;
        };
        testbed::wait_until(
            "the first message", [&has] { return has("west", true); });
        evacuate("east");
        testbed::wait_until(
            "the evacuation", [&has] { return has("east", true); });
        take_back("west");
        testbed::wait_until(
            "the return", [&has] { return has("west", false); });
    }

    // The request arrives before the responses of the store.
    void test_an_evacuation_during_a_suspension_is_applied()
    {
        start_in_two_zones();
        call_each();
        const std::size_t before = requests_at(testbed_.first_server());
        testbed_.suspend(std::chrono::seconds(30), [this] {
            testbed_.store().drop_open_reads();
            testbed_.store().put("keyed.op", "evacuate/east", "{}");
        });
        call_each();
        CPPUNIT_ASSERT_EQUAL(before, requests_at(testbed_.first_server()));
    }

    void test_unknown_zones_and_malformed_records_are_ignored()
    {
        start_in_two_zones();
        evacuate("nowhere");
        testbed_.store().put("keyed.op", "evacuate/", "{}");
        testbed_.store().put("keyed.op", "evacuate/e\x01st", "{}");
        testbed_.store().put("keyed.op", "evacuated", "{}");
        testbed_.store().put("keyed.op", "evacuate", "{}");
        testbed_.publish(2);
        testbed::wait_until(
            "version 2", [this] { return testbed_.table_version() == 2; });
        call_each();
        // Its existence counts, not its content.
        testbed_.store().put("keyed.op", "evacuate/west", "{not json");
        wait_for_evacuation("west", true);
        const std::size_t before = requests_at(testbed_.second_server());
        call_each();
        CPPUNIT_ASSERT_EQUAL(before, requests_at(testbed_.second_server()));
    }

    std::size_t cold_count()
    {
        return testbed_.run_on_host<std::size_t>([](auto& process) {
            return process.context().cold_servers.size();
        });
    }

    void publish_with_warm_up(unsigned version)
    {
        std::string text = table_text(version);
        const std::string name = R"("services":[{"name":"lm",)";
        text.replace(
            text.find(name),
            name.size(),
            name + R"("warmup_s":3.0,"warmup_per_s":5.0,)");
        testbed_.store().put("keyed.op", "config", text);
        testbed::wait_until("the table", [this, version] {
            return testbed_.table_version() == version;
        });
    }

    void test_a_server_that_returns_is_presumed_cold()
    {
        start_in_two_zones();
        publish_with_warm_up(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, cold_count());
        evacuate("west");
        take_back("west");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cold_count());
        // The first start that is known need not be a restart.
        testbed_.restart(testbed_.first_server());
        testbed_.restart(testbed_.first_server());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, cold_count());
        // In a second: the rate of each, 1.5 times, and 5 more.
        const std::size_t before = requests_at(testbed_.first_server());
        std::size_t served = 0;
        const auto end = clock_type::now() + milliseconds(1000);
        while (clock_type::now() < end)
            served += testbed_.call("POST", "/plain/").status == 200 ? 1 : 0;
        CPPUNIT_ASSERT(requests_at(testbed_.first_server()) - before <= 12);
        CPPUNIT_ASSERT(served > 0);
        testbed::wait_until(
            "the warm-up", [this] { return cold_count() == 0; });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(evacuation_test);

} // namespace
