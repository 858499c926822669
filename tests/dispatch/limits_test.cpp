#include "scheduler_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit;
using namespace std::chrono_literals;

class limits_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(limits_test);
    CPPUNIT_TEST(test_concurrency);
    CPPUNIT_TEST(test_tokens_a_second);
    CPPUNIT_TEST(test_limited_organisation_does_not_hold_up_others);
    CPPUNIT_TEST(test_calls_do_not_wait_for_generations);
    CPPUNIT_TEST(test_lifted_limit_takes_effect);
    CPPUNIT_TEST_SUITE_END();

    static dispatch::policy_changed
    limit(std::optional<std::uint32_t> concurrency, std::optional<double> rate)
    {
        dispatch::policy_changed event;
        event.value.organisations = {
            {.name = core::organisation_name("org"),
             .concurrency = concurrency,
             .tokens_per_second = rate}};
        return event;
    }

    void test_concurrency()
    {
        scheduler_fixture fixture;
        fixture.tell(limit(2, std::nullopt));
        fixture.engines(1, 1000000);
        for (const char* const id : {"1", "2", "3"})
            fixture.arrive(id, "org");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.started.size());
        fixture.end("1");
        CPPUNIT_ASSERT(fixture.is_started("3"));
    }

    void test_tokens_a_second()
    {
        scheduler_fixture fixture;
        fixture.tell(limit(std::nullopt, 100.0));
        fixture.engines(1, 1000000);
        fixture.arrive("1", "org");
        fixture.tokens("1", 300);
        fixture.arrive("2", "org");
        CPPUNIT_ASSERT(!fixture.is_started("2"));
        // 300 tokens against a second's worth of 100: two seconds to pay.
        fixture.pass(1900ms);
        CPPUNIT_ASSERT(!fixture.is_started("2"));
        fixture.pass(150ms);
        CPPUNIT_ASSERT(fixture.is_started("2"));
    }

    void test_limited_organisation_does_not_hold_up_others()
    {
        scheduler_fixture fixture;
        fixture.tell(limit(1, std::nullopt));
        fixture.engines(1, 1000000);
        for (const char* const id : {"1", "2", "3"})
            fixture.arrive(id, "org");
        fixture.arrive("4", "other");
        CPPUNIT_ASSERT(fixture.is_started("4"));
        fixture.tell(dispatch::request_left{core::request_id("2")});
        fixture.tell(dispatch::request_left{core::request_id("3")});
        fixture.end("1");
        fixture.end("4");
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, fixture.decisions.state().organisations);
    }

    void test_calls_do_not_wait_for_generations()
    {
        scheduler_fixture fixture;
        fixture.tell(limit(1, 10.0));
        dispatch::servers_changed servers;
        servers.servers = {
            scheduler_fixture::engine(0, 200),
            scheduler_fixture::engine(1, 0, 4)};
        servers.servers[1].service = core::service_name("notes");
        fixture.tell(servers);
        for (const char* const id : {"1", "2", "3"})
            fixture.arrive(id, "org");
        fixture.tokens("1", 1000);
        auto call = scheduler_fixture::request("call", "org");
        call.kind = dispatch::request_kind::call;
        call.service = core::service_name("notes");
        fixture.tell(call);
        CPPUNIT_ASSERT(fixture.is_started("call"));
    }

    void test_lifted_limit_takes_effect()
    {
        scheduler_fixture fixture;
        fixture.tell(limit(1, std::nullopt));
        fixture.engines(1, 1000000);
        fixture.arrive("1", "org");
        fixture.arrive("2", "org");
        CPPUNIT_ASSERT(!fixture.is_started("2"));
        fixture.tell(dispatch::policy_changed{});
        CPPUNIT_ASSERT(fixture.is_started("2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limits_test);

} // namespace
