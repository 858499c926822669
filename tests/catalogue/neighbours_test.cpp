#include <godwit/catalogue/neighbours.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>
#include <string>

namespace {

using namespace godwit::catalogue;
using godwit::core::host_name;
using godwit::core::zone_name;

constexpr std::size_t neighbour_count = 4;

std::vector<member> make_members(std::size_t count)
{
    std::vector<member> members;
    for (std::size_t index = 0; index < count; ++index) {
        members.push_back(
            {host_name("host-" + std::to_string(index)),
             zone_name(std::string(1, "abc"[index % 3]))});
    }
    return members;
}

using graph = std::map<std::string, std::set<std::string>>;

// Both ends of a link learn from each other, since a host that is ahead
// answers.
graph make_graph(const std::vector<member>& members)
{
    graph links;
    for (const member& each : members) {
        for (const auto& peer :
             choose_neighbours(each.host, members, neighbour_count)) {
            links[each.host.value()].insert(peer.value());
            links[peer.value()].insert(each.host.value());
        }
    }
    return links;
}

// The rounds until news of the first host is everywhere; 0 if it never is.
std::size_t rounds_to_reach_all(const graph& links, std::size_t count)
{
    std::set<std::string> reached{links.begin()->first};
    for (std::size_t round = 1; round < count; ++round) {
        auto next = reached;
        for (const auto& host : reached)
            next.insert(links.at(host).begin(), links.at(host).end());
        if (next.size() == count)
            return round;
        if (next.size() == reached.size())
            return 0;
        reached = next;
    }
    return 0;
}

class neighbours_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(neighbours_test);
    CPPUNIT_TEST(test_reaches_all_in_few_rounds);
    CPPUNIT_TEST(test_each_has_one_in_another_zone);
    CPPUNIT_TEST(test_one_host_more_moves_few_links);
    CPPUNIT_TEST(test_ranks_are_distinct);
    CPPUNIT_TEST(test_alone);
    CPPUNIT_TEST_SUITE_END();

    void test_reaches_all_in_few_rounds()
    {
        for (const std::size_t count : {2, 3, 6, 12, 24, 48, 410}) {
            const auto links = make_graph(make_members(count));
            const auto rounds = rounds_to_reach_all(links, count);
            CPPUNIT_ASSERT(rounds > 0);
            CPPUNIT_ASSERT(rounds <= 7);
        }
    }

    void test_each_has_one_in_another_zone()
    {
        const auto members = make_members(24);
        std::map<std::string, zone_name> zones;
        for (const member& each : members)
            zones[each.host.value()] = each.zone;
        for (const member& each : members) {
            bool foreign = false;
            for (const auto& peer :
                 choose_neighbours(each.host, members, neighbour_count))
                foreign |= zones[peer.value()] != each.zone;
            CPPUNIT_ASSERT(foreign);
        }
    }

    void test_one_host_more_moves_few_links()
    {
        const auto before = make_members(48);
        auto after = before;
        after.push_back({host_name("new"), zone_name("a")});
        std::size_t moved = 0;
        for (const member& each : before) {
            const auto old_peers =
                choose_neighbours(each.host, before, neighbour_count);
            for (const auto& peer :
                 choose_neighbours(each.host, after, neighbour_count)) {
                if (std::find(old_peers.begin(), old_peers.end(), peer) ==
                    old_peers.end())
                    ++moved;
            }
        }
        // Of 192 links.
        CPPUNIT_ASSERT(moved <= 16);
    }

    void test_ranks_are_distinct()
    {
        const auto members = make_members(6);
        std::set<std::size_t> ranks;
        for (const member& each : members)
            ranks.insert(rank_for("duty", each.host, members));
        CPPUNIT_ASSERT_EQUAL(members.size(), ranks.size());
        CPPUNIT_ASSERT_EQUAL(
            members.size(), rank_for("duty", host_name("gone"), members));
    }

    void test_alone()
    {
        const auto members = make_members(1);
        CPPUNIT_ASSERT(choose_neighbours(members[0].host, members, 4).empty());
        CPPUNIT_ASSERT(choose_neighbours(members[0].host, {}, 4).empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(neighbours_test);

} // namespace
