#include "scheduler_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace godwit;
using namespace std::chrono_literals;

/// An engine with one slot that ends a generation each second, and a queue
/// of `bound`; drains for ten seconds so that the rate is known.
class one_a_second
{
public:
    explicit one_a_second(std::size_t bound)
    {
        dispatch::policy_changed policy;
        policy.value.services = {
            {.name = core::service_name("llm"), .queue_bound = bound}};
        fixture.tell(policy);
        fixture.engines(1, 1000000, 1);
    }

    void fill()
    {
        while (fixture.refused.empty())
            fixture.arrive("q" + std::to_string(number_++), "org");
        fixture.refused.clear();
    }

    void drain(core::duration time)
    {
        for (core::duration passed{}; passed < time; passed += 100ms) {
            fixture.pass(100ms);
            if ((passed + 100ms) % 1s != 0s)
                continue;
            if (ended_ < fixture.started.size())
                fixture.end(fixture.started[ended_++].id.value());
        }
    }

    scheduler_fixture fixture;

private:
    int number_ = 0;
    std::size_t ended_ = 0;
};

class refusal_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(refusal_test);
    CPPUNIT_TEST(test_without_servers);
    CPPUNIT_TEST(test_queued_when_last_server_goes);
    CPPUNIT_TEST(test_full_queue_and_truthful_retry_after);
    CPPUNIT_TEST(test_wait_beyond_deadline_is_refused_at_once);
    CPPUNIT_TEST(test_coming_back_after_retry_after_is_accepted);
    CPPUNIT_TEST(test_longest_wait_of_class);
    CPPUNIT_TEST(test_expires_in_queue);
    CPPUNIT_TEST_SUITE_END();

    void test_without_servers()
    {
        scheduler_fixture fixture;
        fixture.arrive("1", "org");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.refused.size());
        CPPUNIT_ASSERT(
            fixture.refused[0].reason ==
            dispatch::refusal_reason::no_backend_server);
        CPPUNIT_ASSERT(fixture.refused[0].retry_after > 0s);
    }

    void test_queued_when_last_server_goes()
    {
        scheduler_fixture fixture;
        fixture.engines(1, 1000000, 1);
        fixture.arrive("1", "org");
        fixture.arrive("2", "org");
        fixture.tell(dispatch::servers_changed{});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.refused.size());
        CPPUNIT_ASSERT(fixture.refused[0].id == core::request_id("2"));
        fixture.end("1");
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{0}, fixture.decisions.state().requests);
    }

    void test_full_queue_and_truthful_retry_after()
    {
        one_a_second engine(20);
        engine.fill();
        engine.drain(10s);
        engine.fill();
        engine.fixture.arrive("late", "org");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.fixture.refused.size());
        const auto& refusal = engine.fixture.refused[0];
        CPPUNIT_ASSERT(refusal.reason == dispatch::refusal_reason::queue_full);
        // Half of 20 at one a second.
        CPPUNIT_ASSERT(refusal.retry_after > 8s);
        CPPUNIT_ASSERT(refusal.retry_after < 13s);
        engine.drain(refusal.retry_after);
        engine.fixture.arrive("again", "org");
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.fixture.refused.size());
    }

    void test_wait_beyond_deadline_is_refused_at_once()
    {
        one_a_second engine(20);
        engine.fill();
        engine.drain(10s);
        // Ten are left, so an eleventh waits about eleven seconds.
        auto hasty = scheduler_fixture::request("hasty", "org");
        hasty.deadline = engine.fixture.now + 5s;
        engine.fixture.tell(hasty);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.fixture.refused.size());
        CPPUNIT_ASSERT(
            engine.fixture.refused[0].reason ==
            dispatch::refusal_reason::deadline);
        auto patient = scheduler_fixture::request("patient", "org");
        patient.deadline = engine.fixture.now + 15s;
        engine.fixture.tell(patient);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.fixture.refused.size());
        engine.drain(13s);
        CPPUNIT_ASSERT(engine.fixture.is_started("patient"));
    }

    void test_coming_back_after_retry_after_is_accepted()
    {
        one_a_second engine(20);
        engine.fill();
        engine.drain(10s);
        auto hasty = scheduler_fixture::request("hasty", "org");
        hasty.deadline = engine.fixture.now + 5s;
        engine.fixture.tell(hasty);
        engine.drain(engine.fixture.refused[0].retry_after);
        auto again = scheduler_fixture::request("again", "org");
        again.deadline = engine.fixture.now + 5s;
        engine.fixture.tell(again);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, engine.fixture.refused.size());
        engine.drain(6s);
        CPPUNIT_ASSERT(engine.fixture.is_started("again"));
    }

    void test_longest_wait_of_class()
    {
        scheduler_fixture fixture;
        dispatch::policy_changed policy;
        dispatch::class_policy limits;
        limits.name = core::request_class_name("hasty");
        limits.longest_wait = 2s;
        policy.value.classes = {limits};
        fixture.tell(policy);
        fixture.engines(1, 1000000, 1);
        fixture.arrive("1", "org", "hasty");
        fixture.arrive("2", "org", "hasty");
        fixture.pass(1900ms);
        CPPUNIT_ASSERT(fixture.refused.empty());
        fixture.pass(200ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.refused.size());
    }

    void test_expires_in_queue()
    {
        scheduler_fixture fixture;
        fixture.engines(1, 1000000, 1);
        fixture.arrive("1", "org");
        auto second = scheduler_fixture::request("2", "org");
        second.deadline = fixture.now + 300ms;
        fixture.tell(second);
        fixture.pass(300ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fixture.refused.size());
        fixture.end("1");
        CPPUNIT_ASSERT(!fixture.is_started("2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(refusal_test);

} // namespace
