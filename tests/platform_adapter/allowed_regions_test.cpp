// Guards against requests that are processed outside the regions which their
// route and their organisation allow.

#include "stream_helpers.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <chrono>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter::test;
namespace asio = boost::asio;
using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

const std::array<std::string, 3> paths{"/plain/", "/stream/", "/again/"};

std::string with_regions(
    std::string table,
    const std::string& route_regions,
    const std::string& organisation_regions)
{
    const std::string route = R"("service":"lm")";
    const std::string of_route =
        route + R"(,"allowed_regions":)" + route_regions;
    for (std::size_t at = table.find(route); at != std::string::npos;
         at = table.find(route, at + of_route.size()))
        table.replace(at, route.size(), of_route);
    const std::string organisation = R"("name":"north")";
    const std::size_t at = table.find(organisation);
    return table.replace(
        at,
        organisation.size(),
        organisation + R"(,"allowed_regions":)" + organisation_regions);
}

class allowed_regions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(allowed_regions_test);
    CPPUNIT_TEST(test_requests_stay_in_the_regions_of_their_route);
    CPPUNIT_TEST(test_requests_stay_in_the_regions_of_their_organisation);
    CPPUNIT_TEST(test_requests_that_no_region_may_serve_are_refused_at_once);
    CPPUNIT_TEST(test_requests_are_refused_without_a_server_in_their_regions);
    CPPUNIT_TEST(test_a_withdrawn_region_gets_nothing_more);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;
    unsigned version_ = 0;

    void publish(
        const std::string& route_regions,
        const std::string& organisation_regions = "[]")
    {
        ++version_;
        testbed_.store().put(
            "keyed.op",
            "config",
            with_regions(
                table_text(version_), route_regions, organisation_regions));
        testbed::wait_until("the table", [this] {
            return testbed_.table_version() == version_;
        });
    }

    void start(
        const std::string& route_regions,
        const std::string& organisation_regions = "[]")
    {
        testbed_.second_server().set_zone("west");
        for (fake_server* server :
             {&testbed_.first_server(), &testbed_.second_server()})
            server->set_handler([](http::exchange& exchange) {
                return respond_with_event(exchange);
            });
        publish(route_regions, organisation_regions);
        testbed_.register_server(testbed_.first_server(), "ready");
        testbed_.register_server(testbed_.second_server(), "ready");
        testbed::wait_until(
            "readiness", [this] { return testbed_.is_ready(); });
    }

    void call_each()
    {
        for (int count = 0; count < 5; ++count) {
            for (const std::string& path : paths)
                CPPUNIT_ASSERT_EQUAL(200U, testbed_.call("POST", path).status);
        }
    }

    static std::size_t requests_at(fake_server& server)
    {
        std::size_t count = 0;
        for (const std::string& path : paths)
            count += server.count(path);
        return count;
    }

    void expect_refusals(const std::string& reason, bool has_retry_after)
    {
        for (const std::string& path : paths) {
            const auto started_at = clock_type::now();
            const auto answer = testbed_.call("POST", path);
            CPPUNIT_ASSERT_EQUAL(503U, answer.status);
            CPPUNIT_ASSERT_EQUAL(
                R"({"title":")" + reason + R"(","outcome":"not_run"})",
                answer.body);
            CPPUNIT_ASSERT_EQUAL(
                has_retry_after, answer.fields.find("Retry-After").has_value());
            CPPUNIT_ASSERT(clock_type::now() - started_at < milliseconds(150));
        }
    }

    void test_requests_stay_in_the_regions_of_their_route()
    {
        start(R"(["far"])");
        call_each();
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, requests_at(testbed_.first_server()));
    }

    void test_requests_stay_in_the_regions_of_their_organisation()
    {
        start(R"(["near","far"])", R"(["far"])");
        call_each();
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, requests_at(testbed_.first_server()));
    }

    void test_requests_that_no_region_may_serve_are_refused_at_once()
    {
        start(R"(["near"])", R"(["far"])");
        expect_refusals("no_allowed_region", false);
        publish(R"(["elsewhere"])");
        expect_refusals("no_allowed_region", false);
        publish("7");
        expect_refusals("no_allowed_region", false);
        publish("[]");
        call_each();
    }

    void test_requests_are_refused_without_a_server_in_their_regions()
    {
        start(R"(["far"])");
        testbed_.register_server(testbed_.second_server(), "draining");
        expect_refusals("regions_without_server", true);
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, requests_at(testbed_.first_server()));
    }

    void test_a_withdrawn_region_gets_nothing_more()
    {
        start("[]");
        call_each();
        const std::size_t before = requests_at(testbed_.first_server());
        CPPUNIT_ASSERT(before > 0);
        publish(R"(["far"])");
        call_each();
        CPPUNIT_ASSERT_EQUAL(before, requests_at(testbed_.first_server()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(allowed_regions_test);

} // namespace
