#include "scheduler_fixture.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>

namespace {

using namespace godwit;
using namespace std::chrono_literals;

/// Runs one engine that serves `slots` generations at a time and ends the
/// oldest every 100 ms; counts the tokens of each organisation or class,
/// which is the first letter of an identifier.
class drained_engine
{
public:
    drained_engine(scheduler_fixture& fixture, std::map<char, int> lengths)
        : fixture_(fixture), lengths_(std::move(lengths))
    {}

    void run(int rounds)
    {
        for (int round = 0; round < rounds; ++round) {
            if (next_ < fixture_.started.size()) {
                const std::string id = fixture_.started[next_++].id.value();
                const int length = lengths_.at(id.front());
                fixture_.tokens(id, static_cast<std::uint32_t>(length));
                fixture_.end(id);
                tokens[id.front()] += length;
                ++ended[id.front()];
            }
            fixture_.pass(100ms);
        }
    }

    std::map<char, int> tokens;
    std::map<char, int> ended;

private:
    scheduler_fixture& fixture_;
    std::map<char, int> lengths_;
    std::size_t next_ = 0;
};

void arrive_many(
    scheduler_fixture& fixture,
    const std::string& organisation,
    int count,
    const std::string& class_of_service = "")
{
    static int number = 0;
    for (int index = 0; index < count; ++index) {
        fixture.arrive(
            organisation + std::to_string(number++),
            organisation,
            class_of_service);
    }
}

class fairness_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(fairness_test);
    CPPUNIT_TEST(test_organisations_share_tokens_not_requests);
    CPPUNIT_TEST(test_returning_organisation_has_no_credit);
    CPPUNIT_TEST(test_idle_organisations_leave_nothing_behind);
    CPPUNIT_TEST(test_classes_share_by_weight);
    CPPUNIT_TEST(test_start_floor_holds);
    CPPUNIT_TEST(test_memory_floor_is_kept_free);
    CPPUNIT_TEST(test_floor_is_open_whatever_the_reports_say);
    CPPUNIT_TEST(test_no_class_starves);
    CPPUNIT_TEST(test_same_events_give_same_actions);
    CPPUNIT_TEST_SUITE_END();

    void test_organisations_share_tokens_not_requests()
    {
        scheduler_fixture fixture;
        fixture.engines(1, 1000000, 1);
        drained_engine engine(fixture, {{'a', 400}, {'b', 50}});
        arrive_many(fixture, "a", 150);
        arrive_many(fixture, "b", 250);
        engine.run(250);
        const double share = static_cast<double>(engine.tokens['a']) /
                             (engine.tokens['a'] + engine.tokens['b']);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, share, 0.05);
    }

    void test_returning_organisation_has_no_credit()
    {
        scheduler_fixture fixture;
        fixture.engines(1, 1000000, 1);
        drained_engine engine(fixture, {{'a', 100}, {'b', 100}});
        arrive_many(fixture, "a", 400);
        engine.run(100);
        arrive_many(fixture, "b", 200);
        engine.run(40);
        // Having idled for 100 generations earns b no more than its half.
        CPPUNIT_ASSERT(engine.ended['b'] <= 22);
        CPPUNIT_ASSERT(engine.ended['b'] >= 18);
    }

    void test_idle_organisations_leave_nothing_behind()
    {
        scheduler_fixture fixture;
        fixture.engines(1, 1000000, 4);
        drained_engine engine(fixture, {{'o', 20}});
        for (int number = 0; number < 300; ++number) {
            const std::string name = "o" + std::to_string(number);
            fixture.arrive(name, name);
        }
        engine.run(400);
        const auto state = fixture.decisions.state();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state.organisations);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, state.requests);
    }

    /// A policy of a long and a short class that are alike so far.
    static dispatch::policy_changed long_and_short()
    {
        dispatch::policy_changed policy;
        policy.value.classes.resize(2);
        policy.value.classes[0].name = core::request_class_name("l");
        policy.value.classes[1].name = core::request_class_name("s");
        return policy;
    }

    void test_classes_share_by_weight()
    {
        scheduler_fixture fixture;
        auto policy = long_and_short();
        policy.value.classes[0].weight = 3.0;
        fixture.tell(policy);
        fixture.engines(1, 1000000, 1);
        drained_engine engine(fixture, {{'l', 300}, {'s', 20}});
        arrive_many(fixture, "l", 200, "l");
        arrive_many(fixture, "s", 300, "s");
        engine.run(250);
        const double share = static_cast<double>(engine.tokens['l']) /
                             (engine.tokens['l'] + engine.tokens['s']);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.75, share, 0.05);
    }

    void test_start_floor_holds()
    {
        // By tokens alone the long class would get one start in sixteen.
        scheduler_fixture fixture;
        auto policy = long_and_short();
        policy.value.classes[0].start_floor = 0.3;
        fixture.tell(policy);
        fixture.engines(1, 1000000, 1);
        drained_engine engine(fixture, {{'l', 300}, {'s', 20}});
        arrive_many(fixture, "l", 200, "l");
        arrive_many(fixture, "s", 300, "s");
        engine.run(250);
        CPPUNIT_ASSERT(engine.ended['l'] >= 70);
    }

    void test_memory_floor_is_kept_free()
    {
        scheduler_fixture fixture;
        auto policy = long_and_short();
        policy.value.classes[1].memory_floor = 0.2;
        fixture.tell(policy);
        fixture.engines(1, 1100);
        // Nothing was learned yet: each may need 110 tokens.
        arrive_many(fixture, "l", 20, "l");
        CPPUNIT_ASSERT_EQUAL(std::size_t{8}, fixture.started.size());
        arrive_many(fixture, "s", 4, "s");
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, fixture.started.size());
    }

    void test_floor_is_open_whatever_the_reports_say()
    {
        scheduler_fixture fixture;
        auto policy = long_and_short();
        policy.value.classes[1].memory_floor = 0.25;
        fixture.tell(policy);
        fixture.engines(1, 1000);
        dispatch::load_reported full;
        full.server = scheduler_fixture::address(0);
        full.running = 20;
        full.waiting = 3;
        full.memory_tokens_used = 1000;
        full.memory_tokens_capacity = 1000;
        fixture.tell(full);
        // Two of 110 tokens fit the floor of 250; the long class has none.
        arrive_many(fixture, "l", 3, "l");
        CPPUNIT_ASSERT(fixture.started.empty());
        arrive_many(fixture, "s", 3, "s");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, fixture.started.size());
    }

    void test_no_class_starves()
    {
        scheduler_fixture fixture;
        auto policy = long_and_short();
        policy.value.classes[1].priority = 8;
        fixture.tell(policy);
        fixture.engines(1, 1000000, 1);
        drained_engine engine(fixture, {{'l', 300}, {'s', 20}});
        arrive_many(fixture, "l", 5, "l");
        for (int round = 0; round < 100; ++round) {
            // The short class brings more than the engine can serve.
            arrive_many(fixture, "s", 2, "s");
            engine.run(1);
        }
        CPPUNIT_ASSERT_EQUAL(5, engine.ended['l']);
    }

    void test_same_events_give_same_actions()
    {
        const auto run = [] {
            scheduler_fixture fixture;
            fixture.engines(5, 3000, 4);
            for (int number = 0; number < 60; ++number) {
                const std::string name = std::to_string(number);
                fixture.arrive(name, "org" + std::to_string(number % 7));
                if (number % 3 == 0)
                    fixture.end(std::to_string(number / 2));
                fixture.pass(10ms);
            }
            return fixture.started;
        };
        CPPUNIT_ASSERT(run() == run());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fairness_test);

} // namespace
