// Guards against hosts that ask one neighbour after the other in vain while a
// whole zone has lost its links, and against neighbours that are overrun.

#include <godwit/placement/tunnel_proxy_selector.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::placement;

class tunnel_proxy_selector_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(tunnel_proxy_selector_test);
    CPPUNIT_TEST(test_neighbours_of_the_own_zone_come_first);
    CPPUNIT_TEST(test_a_neighbour_without_tunnels_is_passed_over_for_a_while);
    CPPUNIT_TEST(test_nobody_is_chosen_without_usable_neighbours);
    CPPUNIT_TEST(test_a_zone_that_lost_its_links_costs_one_request_in_vain);
    CPPUNIT_TEST(test_tunnels_spread_over_the_neighbours);
    CPPUNIT_TEST(test_a_tunnel_passes_through_no_third_region);
    CPPUNIT_TEST_SUITE_END();

    tunnel_proxy_selector selector_{core::zone_name("east"), 1};
    routing::zone_regions regions_;

    static core::time_point at_ms(int milliseconds)
    {
        return core::time_point(std::chrono::milliseconds(milliseconds));
    }

    static tunnel_proxy neighbour(const std::string& zone, int number)
    {
        return {
            core::host_name(zone + "-" + std::to_string(number)),
            core::zone_name(zone),
            http::endpoint::parse("10.0.0.1:" + std::to_string(number))
                .value()};
    }

    std::optional<tunnel_proxy> choose(
        const std::vector<tunnel_proxy>& neighbours,
        int now_ms,
        const std::string& server_zone = "east")
    {
        return selector_.choose(
            neighbours, core::zone_name(server_zone), regions_, at_ms(now_ms));
    }

    /// The neighbours of a host in a fleet of 986 hosts: those of its cell, and
    /// one in each other cell.
    static std::vector<tunnel_proxy> neighbours_in_large_fleet()
    {
        constexpr int hosts_of_cell = 32;
        constexpr int cells_of_other_zone = 7;
        std::vector<tunnel_proxy> all;
        for (int number = 1; number < hosts_of_cell; ++number)
            all.push_back(neighbour("east", number));
        for (const char* zone : {"north", "south", "west", "far"}) {
            for (int number = 1; number <= cells_of_other_zone; ++number)
                all.push_back(neighbour(zone, number));
        }
        return all;
    }

    // A request of this host may be processed in its server's region only.
    void test_a_tunnel_passes_through_no_third_region()
    {
        const core::region_name near("near");
        regions_ = routing::zone_regions(
            {{core::zone_name("east"), near},
             {core::zone_name("north"), near},
             {core::zone_name("west"), core::region_name("far")},
             {core::zone_name("south"), core::region_name("third")}});
        const auto own = neighbour("north", 1);
        const auto far = neighbour("west", 2);
        const auto third = neighbour("south", 3);
        for (int repeat = 0; repeat < 20; ++repeat) {
            CPPUNIT_ASSERT(!choose({third}, 0, "west"));
            CPPUNIT_ASSERT(choose({third, own}, 0, "west") == own);
            CPPUNIT_ASSERT(choose({third, far}, 0, "west") == far);
            CPPUNIT_ASSERT(!choose({third, far}, 0, "east"));
        }
    }

    void test_neighbours_of_the_own_zone_come_first()
    {
        const std::vector all{neighbour("west", 1), neighbour("east", 2)};
        for (int repeat = 0; repeat < 20; ++repeat)
            CPPUNIT_ASSERT(choose(all, 0) == all.back());
    }

    void test_a_neighbour_without_tunnels_is_passed_over_for_a_while()
    {
        const std::vector all{neighbour("west", 1), neighbour("east", 2)};
        selector_.record_unusable(all.back().host, at_ms(0));
        CPPUNIT_ASSERT(choose(all, 499) == all.front());
        CPPUNIT_ASSERT(choose(all, 500) == all.back());
    }

    void test_nobody_is_chosen_without_usable_neighbours()
    {
        CPPUNIT_ASSERT(!choose({}, 0));
        const std::vector all{neighbour("east", 1)};
        selector_.record_unusable(all.front().host, at_ms(0));
        CPPUNIT_ASSERT(!choose(all, 0));
    }

    // Replays 28 requests a second of a host whose zone has lost its links.
    void test_a_zone_that_lost_its_links_costs_one_request_in_vain()
    {
        const auto all = neighbours_in_large_fleet();
        const core::zone_name lost("east");
        int requests = 0;
        int in_vain = 0;
        for (int now_ms = 0; now_ms < 10000; now_ms += 36) {
            ++requests;
            int asked = 0;
            while (true) {
                const auto chosen = choose(all, now_ms);
                CPPUNIT_ASSERT(chosen.has_value());
                ++asked;
                if (chosen->zone != lost)
                    break;
                selector_.record_unusable(chosen->host, at_ms(now_ms));
            }
            CPPUNIT_ASSERT(asked <= 2);
            in_vain += asked - 1;
        }
        // One in each period for which a neighbour is passed over.
        CPPUNIT_ASSERT(in_vain <= 21);
        CPPUNIT_ASSERT(requests > 270);
    }

    void test_tunnels_spread_over_the_neighbours()
    {
        const auto all = neighbours_in_large_fleet();
        constexpr int tunnels = 3100;
        constexpr int neighbours_of_zone = 31;
        std::map<core::host_name, int> counts;
        for (int count = 0; count < tunnels; ++count)
            ++counts[choose(all, 0)->host];
        CPPUNIT_ASSERT_EQUAL(
            static_cast<std::size_t>(neighbours_of_zone), counts.size());
        for (const auto& [host, count] : counts)
            CPPUNIT_ASSERT(count <= 2 * tunnels / neighbours_of_zone);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(tunnel_proxy_selector_test);

} // namespace
