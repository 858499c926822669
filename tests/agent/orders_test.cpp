#include "fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using agent::fleet;

namespace {

// Two engines of one pool, and what the agents brought them to.
class orders_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(orders_test);
    CPPUNIT_TEST(test_engines_reach_the_published_state);
    CPPUNIT_TEST(test_engines_that_ignore_fencing);
    CPPUNIT_TEST(test_no_lease_no_order);
    CPPUNIT_TEST_SUITE_END();

    static std::uint64_t publish_pool(fleet& agents, bool checks_fencing)
    {
        agents.publish(); // The class.
        return agents.publish(
            std::string(
                R"({"record":"change_set","change_id":"pool",)"
                R"("operator":"mojca","changes":[{)"
                R"("entry":"service/imenoslov","expected_version":0,"value":{)"
                R"("class":"interactive","kind":"engine_pool",)"
                R"("model":"toponyms","adapter":"","model_version":"2",)"
                R"("limits":{"queue_bound":100,"default_deadline_ms":60000,)"
                R"("maximum_deadline_ms":600000,"maximum_tokens":4096,)"
                R"("maximum_body_bytes":65536},"deduplicates":false,)"
                R"("checks_fencing":)") +
            (checks_fencing ? "true" : "false") +
            R"(,"retry_budget_percent":10,"engine_targets":[{)"
            R"("model":"toponyms","adapter":"","version":"2",)"
            R"("replicas":2}]}}]})");
    }

    static bool serves_target(fleet& agents, const http::endpoint& engine)
    {
        const auto answer = agents.get(engine, "/orders");
        return answer.body.find("toponyms") != std::string::npos &&
               answer.body.find(R"("version":"2")") != std::string::npos;
    }

    static void reach(bool checks_fencing)
    {
        fleet agents;
        agents.add_agent("vic");
        agents.add_agent("moste");
        const auto first = agents.add_engine("imenoslov", checks_fencing);
        const auto second = agents.add_engine("imenoslov", checks_fencing);
        agents.wait_for(publish_pool(agents, checks_fencing), {0, 1});
        CPPUNIT_ASSERT(
            agents.at(0).follower().content()->find_service(
                core::service_name("imenoslov")) != nullptr);
        agents.wait_until([&] {
            return serves_target(agents, first) &&
                   serves_target(agents, second);
        });
        // One agent holds the pool and gave every order.
        agents.wait_until([&] {
            return agents.at(0).reconciler().held().size() +
                       agents.at(1).reconciler().held().size() ==
                   1;
        });
        const auto sent_by = [&](std::size_t index) {
            return agents.at(index).reconciler().counts().orders_sent;
        };
        CPPUNIT_ASSERT(sent_by(0) == 0 || sent_by(1) == 0);
        CPPUNIT_ASSERT(sent_by(0) + sent_by(1) >= 2);
    }

    void test_engines_reach_the_published_state() { reach(true); }

    void test_engines_that_ignore_fencing() { reach(false); }

    void test_no_lease_no_order()
    {
        fleet agents;
        const auto only = agents.add_engine("imenoslov", true);
        const std::uint64_t next = publish_pool(agents, true);
        agents.set_faults(R"({"reject_appends":true})");
        agents.add_agent("vic");
        agents.wait_for(next, {0});
        agents.wait_until(
            [&] { return agents.at(0).reconciler().counts().appends > 1; });
        CPPUNIT_ASSERT_EQUAL(
            std::uint64_t{0}, agents.at(0).reconciler().counts().orders_sent);
        CPPUNIT_ASSERT(!serves_target(agents, only));
        agents.set_faults(R"({"reject_appends":false})");
        agents.wait_until([&] { return serves_target(agents, only); });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(orders_test);

} // namespace
