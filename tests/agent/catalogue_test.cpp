#include "fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

using namespace godwit;
using agent::fleet;

namespace {

// Nobody listens there: what an agent sees that is cut from the platform.
constexpr const char* nowhere = "127.0.0.1:1";

class catalogue_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(catalogue_test);
    CPPUNIT_TEST(test_published_change_is_in_force_on_all);
    CPPUNIT_TEST(test_agent_cut_from_the_log_learns_from_peers);
    CPPUNIT_TEST(test_outage_in_a_burst);
    CPPUNIT_TEST(test_new_agent_during_an_outage);
    CPPUNIT_TEST(test_not_ready_without_a_catalogue);
    CPPUNIT_TEST(test_all_agents_replaced_during_an_outage);
    CPPUNIT_TEST_SUITE_END();

    static std::uint64_t hash_at(fleet& agents, std::size_t index)
    {
        return agents.at(index).follower().content()->hash();
    }

    void test_published_change_is_in_force_on_all()
    {
        fleet agents;
        for (const char* zone : {"vic", "moste", "bezigrad"})
            agents.add_agent(zone);
        const auto proxy = agents.add_proxy(1, catalogue::state::empty());
        std::uint64_t next = 0;
        for (int change = 0; change < 5; ++change) {
            next = agents.publish();
            agents.wait_for(next, {0, 1, 2});
        }
        agents.wait_until(
            [&] { return proxy->content()->next_offset() == next; });
        CPPUNIT_ASSERT_EQUAL(hash_at(agents, 0), hash_at(agents, 2));
        CPPUNIT_ASSERT_EQUAL(hash_at(agents, 0), proxy->content()->hash());
        agents.wait_until(
            [&] { return agents.at(1).proxies().in_force() == next; });
    }

    void test_agent_cut_from_the_log_learns_from_peers()
    {
        fleet agents;
        agents.add_agent("vic");
        agents.add_agent("moste");
        const std::uint64_t before = agents.publish();
        agents.wait_for(before, {0, 1});
        // It gets a snapshot first and records from then on.
        const auto cut = agents.add_agent(
            "bezigrad",
            nowhere,
            {agents.at(0).frames_address().address().to_string() + ":" +
             std::to_string(agents.at(0).frames_address().port())});
        agents.wait_for(before, {cut});
        for (int change = 0; change < 3; ++change)
            agents.wait_for(agents.publish(), {0, 1, cut});
        CPPUNIT_ASSERT_EQUAL(hash_at(agents, 0), hash_at(agents, cut));
        const auto status =
            agents.at(cut).follower().status(core::monotonic_now());
        CPPUNIT_ASSERT(status.source == catalogue::catalogue_source::peer);
        CPPUNIT_ASSERT(!status.log_available);
    }

    void test_outage_in_a_burst()
    {
        fleet agents;
        for (const char* zone : {"vic", "moste", "bezigrad"})
            agents.add_agent(zone);
        std::uint64_t next = 0;
        for (int change = 0; change < 20; ++change)
            next = agents.publish();
        agents.set_faults(R"({"outage":true})");
        agents.wait_until([&] {
            return !agents.at(0)
                        .follower()
                        .status(core::monotonic_now())
                        .log_available;
        });
        const auto proxy = agents.add_proxy(0, catalogue::state::empty());
        agents.set_faults(R"({"outage":false})");
        for (int change = 0; change < 20; ++change)
            next = agents.publish();
        agents.wait_for(next, {0, 1, 2});
        agents.wait_until(
            [&] { return proxy->content()->next_offset() == next; });
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, proxy->reverts);
    }

    static std::string frames_of(fleet& agents, std::size_t index)
    {
        const auto& endpoint = agents.at(index).frames_address();
        return endpoint.address().to_string() + ":" +
               std::to_string(endpoint.port());
    }

    void test_new_agent_during_an_outage()
    {
        fleet agents;
        agents.add_agent("vic");
        agents.add_agent("moste");
        const std::uint64_t next = agents.publish();
        agents.wait_for(next, {0, 1});
        agents.stop_platform();
        const auto added =
            agents.add_agent("moste", "", {frames_of(agents, 1)});
        agents.wait_for(next, {added});
        CPPUNIT_ASSERT_EQUAL(hash_at(agents, 0), hash_at(agents, added));
        agents.start_platform();
        agents.wait_for(agents.publish(), {0, 1, added});
    }

    void test_not_ready_without_a_catalogue()
    {
        fleet agents;
        const auto alone = agents.add_agent("vic", nowhere);
        CPPUNIT_ASSERT_EQUAL(503U, agents.get(alone, "/readyz").status);
        CPPUNIT_ASSERT_EQUAL(200U, agents.get(alone, "/healthz").status);
        const auto state = agents.get(alone, "/state");
        CPPUNIT_ASSERT(state.body.find("\"ready\":false") != std::string::npos);
        const auto other = agents.add_agent("vic");
        CPPUNIT_ASSERT_EQUAL(503U, agents.get(other, "/readyz").status);
        agents.wait_for(agents.publish(), {other});
        CPPUNIT_ASSERT_EQUAL(200U, agents.get(other, "/readyz").status);
        CPPUNIT_ASSERT(
            agents.get(other, "/metrics").body.find("godwit_agent_ready 1") !=
            std::string::npos);
    }

    void test_all_agents_replaced_during_an_outage()
    {
        fleet agents;
        for (const char* zone : {"vic", "moste", "bezigrad"})
            agents.add_agent(zone);
        std::uint64_t next = agents.publish();
        agents.wait_for(next, {0, 1, 2});
        const std::uint64_t hash = hash_at(agents, 0);
        agents.stop_platform();
        for (std::size_t old = 0; old < 3; ++old) {
            // The new hosts know the others by their settings only.
            const auto added = agents.add_agent(
                "vic", "", {frames_of(agents, 2), frames_of(agents, old + 2)});
            agents.wait_for(next, {added});
            agents.stop_agent(old);
        }
        for (const std::size_t index : {3U, 4U, 5U})
            CPPUNIT_ASSERT_EQUAL(hash, hash_at(agents, index));
        agents.start_platform();
        next = agents.publish();
        agents.wait_for(next, {3, 4, 5});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalogue_test);

} // namespace
