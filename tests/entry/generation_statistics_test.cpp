// Guards against sizes that depend on outdated, foreign or malformed
// observations, and against messages that nobody needs.

#include <godwit/entry/generation_statistics.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <limits>
#include <memory>
#include <optional>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::entry;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(
        std::chrono::hours(1) + std::chrono::milliseconds(milliseconds));
}

std::shared_ptr<const routing::route_table>
table_with(const std::string& route_name)
{
    routing::route_table_content content;
    content.version = 1;
    routing::service service;
    service.name = core::service_name("lm");
    service.engine = routing::engine_profile{};
    content.services.push_back(service);
    routing::route route;
    route.name = route_name;
    route.host = "h";
    route.path_prefix = "/";
    route.services.push_back({core::service_name("lm"), 1});
    content.routes.push_back(route);
    return routing::route_table::create(std::move(content)).value();
}

entry_settings settings_with(bool learns_lengths)
{
    const auto any_port = http::endpoint::parse("127.0.0.1:0").value();
    return entry_settings{
        .host = core::host_name("h1"),
        .zone = core::zone_name("east"),
        .callers = any_port,
        .readiness = any_port,
        .operators = any_port,
        .neighbours = any_port,
        .seeds = {},
        .learns_lengths = learns_lengths};
}

/// A host's statistics with what they depend on.
struct host
{
    explicit host(bool learns_lengths) : settings(settings_with(learns_lengths))
    {}

    void record_runs(int count, core::time_point now)
    {
        for (int each = 0; each < count; ++each) {
            statistics.record_growth("r", 0, 400, now);
            statistics.record_end("r", {3000, 1000, std::nullopt}, 400, now);
            statistics.record_step(service, 20, now);
        }
    }

    [[nodiscard]] bool knows_lengths(core::time_point now) const
    {
        return statistics.observe("r", service, 0, now).has_value();
    }

    const core::service_name service{"lm"};
    entry_settings settings;
    std::unique_ptr<telemetry::metrics> metrics = telemetry::metrics::create();
    generation_statistics statistics{settings, *metrics};
};

class generation_statistics_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(generation_statistics_test);
    CPPUNIT_TEST(test_nothing_is_kept_or_sent_without_the_setting);
    CPPUNIT_TEST(test_messages_are_limited_to_one_a_second);
    CPPUNIT_TEST(test_a_restarted_host_learns_from_its_neighbour);
    CPPUNIT_TEST(test_a_partitioned_host_uses_its_own_observations);
    CPPUNIT_TEST(test_a_suspended_host_forgets);
    CPPUNIT_TEST(test_sums_of_removed_routes_are_discarded);
    CPPUNIT_TEST(test_malformed_sums_are_ignored);
    CPPUNIT_TEST(test_routes_are_bounded);
    CPPUNIT_TEST_SUITE_END();

    const core::host_name neighbour_{"n0"};

    void test_nothing_is_kept_or_sent_without_the_setting()
    {
        host silent(false);
        [[maybe_unused]] const auto first =
            silent.statistics.tick(nullptr, at_ms(0));
        silent.record_runs(100, at_ms(0));
        CPPUNIT_ASSERT(!silent.knows_lengths(at_ms(200)));
        CPPUNIT_ASSERT(!silent.statistics.initial_message(at_ms(200)));
        CPPUNIT_ASSERT(!silent.statistics.tick(nullptr, at_ms(250)));
        CPPUNIT_ASSERT_EQUAL(
            admission::engine_speeds::usual_prefill_tokens_per_ms,
            silent.statistics.prefill_tokens_per_ms(silent.service, at_ms(250)));
    }

    void test_messages_are_limited_to_one_a_second()
    {
        host busy(true);
        int sent = 0;
        for (int at = 0; at < 10'000; at += 50) {
            busy.record_runs(1, at_ms(at));
            sent += busy.statistics.tick(nullptr, at_ms(at)) ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(10, sent);
        // An idle host sends what is left and then nothing.
        sent = 0;
        for (int at = 10'000; at < 20'000; at += 50)
            sent += busy.statistics.tick(nullptr, at_ms(at)) ? 1 : 0;
        CPPUNIT_ASSERT(sent <= 1);
    }

    void test_a_restarted_host_learns_from_its_neighbour()
    {
        host neighbour(true);
        neighbour.record_runs(100, at_ms(0));
        [[maybe_unused]] const auto sent =
            neighbour.statistics.tick(nullptr, at_ms(0));
        const auto message = neighbour.statistics.initial_message(at_ms(0));
        CPPUNIT_ASSERT(message);
        host restarted(true);
        // It has no route table when its first link opens.
        [[maybe_unused]] const auto first =
            restarted.statistics.tick(nullptr, at_ms(0));
        restarted.statistics.handle(neighbour_, *message, at_ms(10));
        CPPUNIT_ASSERT(!restarted.statistics.tick(table_with("r"), at_ms(50)));
        const auto observed =
            restarted.statistics.observe("r", restarted.service, 0, at_ms(60));
        CPPUNIT_ASSERT(observed);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, observed->soon_tokens);
        // It does not pass on what it has heard.
        CPPUNIT_ASSERT(!restarted.statistics.initial_message(at_ms(60)));
    }

    void test_a_partitioned_host_uses_its_own_observations()
    {
        host neighbour(true);
        neighbour.record_runs(100, at_ms(0));
        const auto message = neighbour.statistics.tick(nullptr, at_ms(0));
        CPPUNIT_ASSERT(message);
        host alone(true);
        alone.statistics.handle(neighbour_, *message, at_ms(0));
        for (int at = 0; at <= 30'000; at += 50)
            [[maybe_unused]] const auto sent =
                alone.statistics.tick(nullptr, at_ms(at));
        CPPUNIT_ASSERT(!alone.knows_lengths(at_ms(30'000)));
        alone.record_runs(20, at_ms(30'000));
        CPPUNIT_ASSERT(alone.knows_lengths(at_ms(30'200)));
    }

    void test_a_suspended_host_forgets()
    {
        host suspended(true);
        [[maybe_unused]] const auto first =
            suspended.statistics.tick(nullptr, at_ms(0));
        suspended.record_runs(100, at_ms(0));
        CPPUNIT_ASSERT(suspended.knows_lengths(at_ms(900)));
        // A request that arrives before the first tick after the suspension.
        CPPUNIT_ASSERT(!suspended.knows_lengths(at_ms(1500)));
        [[maybe_unused]] const auto next =
            suspended.statistics.tick(nullptr, at_ms(1500));
        CPPUNIT_ASSERT(!suspended.knows_lengths(at_ms(1510)));
    }

    void test_sums_of_removed_routes_are_discarded()
    {
        host changed(true);
        [[maybe_unused]] auto sent =
            changed.statistics.tick(table_with("r"), at_ms(0));
        changed.record_runs(100, at_ms(0));
        CPPUNIT_ASSERT(changed.knows_lengths(at_ms(200)));
        sent = changed.statistics.tick(table_with("other"), at_ms(250));
        CPPUNIT_ASSERT(!changed.knows_lengths(at_ms(500)));
        // Runs that began before the change do not bring it back.
        changed.record_runs(100, at_ms(500));
        sent = changed.statistics.tick(table_with("r"), at_ms(600));
        CPPUNIT_ASSERT(!changed.knows_lengths(at_ms(800)));
    }

    void test_malformed_sums_are_ignored()
    {
        host receiver(true);
        [[maybe_unused]] const auto first =
            receiver.statistics.tick(nullptr, at_ms(0));
        for (const float wrong :
             {-50.0F,
              1e30F,
              std::numeric_limits<float>::infinity(),
              std::numeric_limits<float>::quiet_NaN()}) {
            const wire::length_sums message{
                {{"r", {0, wrong}, {50}, 0, 0, 0},
                 {"r", {0, 50}, {wrong}, 0, 0, 0},
                 {"r", {0, 50}, {50}, 1, wrong, 0},
                 {"", {0, 50}, {50}, 0, 0, 0}},
                {{"lm", wrong, 50, 20, 50}, {"lm", 7, 50, wrong, 50}}};
            receiver.statistics.handle(neighbour_, message, at_ms(0));
        }
        CPPUNIT_ASSERT(!receiver.knows_lengths(at_ms(10)));
        CPPUNIT_ASSERT_EQUAL(
            admission::engine_speeds::usual_prefill_tokens_per_ms,
            receiver.statistics.prefill_tokens_per_ms(
                receiver.service, at_ms(10)));
        const std::string text = receiver.metrics->serialise();
        CPPUNIT_ASSERT(
            text.find("godwit_refused_length_sums_total 24") !=
            std::string::npos);
        // A valid route beside a malformed one still counts.
        receiver.statistics.handle(
            neighbour_,
            {{{"x", {-1}, {}, 0, 0, 0}, {"r", {0, 50}, {50}, 0, 0, 0}}, {}},
            at_ms(20));
        CPPUNIT_ASSERT(receiver.knows_lengths(at_ms(30)));
    }

    void test_routes_are_bounded()
    {
        host receiver(true);
        [[maybe_unused]] const auto first =
            receiver.statistics.tick(nullptr, at_ms(0));
        wire::length_sums message;
        for (std::size_t each = 0; each <= generation_statistics::max_routes;
             ++each)
            message.routes.push_back(
                {"r" + std::to_string(each), {0, 50}, {50}, 0, 0, 0});
        receiver.statistics.handle(neighbour_, message, at_ms(0));
        CPPUNIT_ASSERT(
            !receiver.statistics.observe("r0", receiver.service, 0, at_ms(10)));
        for (int each = 0; each < 200; ++each)
            receiver.statistics.record_growth(
                "own" + std::to_string(each), 0, 400, at_ms(0));
        const auto sent = receiver.statistics.initial_message(at_ms(10));
        CPPUNIT_ASSERT(
            sent && sent->routes.size() == generation_statistics::max_routes);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(generation_statistics_test);

} // namespace
