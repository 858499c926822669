// Guards against requests that leave the regions they are allowed in, whatever
// the fleet looks like.

#include "samples.hpp"

#include <godwit/core/random.hpp>
#include <godwit/placement/placer.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <set>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::placement;
using namespace godwit::placement::test;
using core::region_name;
using core::zone_name;
using routing::region_set;
using routing::zone_regions;

/// A fleet in which a test changes everything that a placement depends on.
struct fleet
{
    explicit fleet(std::uint64_t seed)
        : cold(seed), chooser{
                          directory,
                          ledger,
                          health,
                          slow_servers,
                          limits,
                          cold,
                          evacuations,
                          seed}
    {}

    server_directory directory;
    load_ledger ledger;
    server_health health;
    slow_server_detector slow_servers;
    server_limits limits;
    cold_servers cold;
    zone_evacuations evacuations;
    placer chooser;
};

// The last zone has no region.
const std::array<std::string, 5> zone_names{"a", "b", "c", "d", "e"};
const std::array<std::string, 3> region_names{"north", "south", "west"};

zone_regions sample_regions()
{
    return zone_regions(
        {{zone_name("a"), region_name("north")},
         {zone_name("b"), region_name("north")},
         {zone_name("c"), region_name("south")},
         {zone_name("d"), region_name("west")}});
}

class placer_regions_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(placer_regions_test);
    CPPUNIT_TEST(test_a_request_goes_the_long_way_to_its_region);
    CPPUNIT_TEST(test_without_a_server_in_its_regions_a_request_fails);
    CPPUNIT_TEST(test_without_known_regions_a_restricted_request_fails);
    CPPUNIT_TEST(test_a_tried_server_does_not_count_as_missing_region);
    CPPUNIT_TEST(test_nothing_leaves_its_regions_in_random_fleets);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override
    {
        service_.name = core::service_name("lm");
        service_.engine = routing::engine_profile{4, 10000, 1, 1, true, false};
        request_.service = &service_;
        request_.work = {1, 1000, 0};
        request_.preferred_zone = zone_name("a");
        request_.regions = &regions_;
        fleet_.directory.update(sample_server(1, "a"), at_ms(0));
    }

private:
    zone_regions regions_ = sample_regions();
    routing::service service_;
    placement_request request_;
    fleet fleet_{1};

    void test_a_request_goes_the_long_way_to_its_region()
    {
        fleet_.directory.update(sample_server(2, "c"), at_ms(0));
        request_.allowed_regions = region_set::only({region_name("south")});
        const auto chosen = fleet_.chooser.choose(request_, at_ms(0));
        CPPUNIT_ASSERT_EQUAL(std::string("i-2"), chosen->server.id.value());
    }

    void test_without_a_server_in_its_regions_a_request_fails()
    {
        request_.allowed_regions = region_set::only({region_name("south")});
        const auto chosen = fleet_.chooser.choose(request_, at_ms(0));
        CPPUNIT_ASSERT(chosen.error() == placement_failure::outside_regions);
    }

    void test_without_known_regions_a_restricted_request_fails()
    {
        request_.allowed_regions = region_set::only({region_name("north")});
        request_.regions = nullptr;
        const auto chosen = fleet_.chooser.choose(request_, at_ms(0));
        CPPUNIT_ASSERT(chosen.error() == placement_failure::outside_regions);
    }

    void test_a_tried_server_does_not_count_as_missing_region()
    {
        fleet_.directory.update(sample_server(2, "c"), at_ms(0));
        request_.allowed_regions = region_set::only({region_name("north")});
        request_.excluded = {server_id("i-1")};
        const auto chosen = fleet_.chooser.choose(request_, at_ms(0));
        CPPUNIT_ASSERT(chosen.error() == placement_failure::no_server);
    }

    void test_nothing_leaves_its_regions_in_random_fleets()
    {
        constexpr std::uint64_t fleets = 60;
        for (std::uint64_t seed = 1; seed <= fleets; ++seed)
            play_random_fleet(seed);
    }

    /// Servers join, drain and fill up, and zones are evacuated and return,
    /// while requests of every purpose are placed.
    void play_random_fleet(std::uint64_t seed)
    {
        constexpr int steps = 120;
        core::random random(seed);
        fleet played(seed);
        for (int step = 0; step < steps; ++step) {
            const core::time_point now = at_ms(step * 100);
            const int number = static_cast<int>(random.below(30));
            const std::string zone =
                zone_names.at(random.below(zone_names.size()));
            backend_server server = sample_server(
                number, zone, static_cast<std::uint64_t>(step) + 1);
            if (random.below(4) == 0)
                server.state = server_state::draining;
            played.directory.update(server, now);
            played.ledger.add(server.id, {1, random.below(3000), 0});
            [[maybe_unused]] const bool is_change = played.evacuations.update(
                {zone_name(zone),
                 random.below(3) == 0,
                 {1, static_cast<std::uint64_t>(step) + 1}},
                now);
            place_randomly(played, random, now);
        }
    }

    static region_set random_regions(core::random& random)
    {
        std::set<region_name> names;
        for (const std::string& name : region_names) {
            if (random.below(2) == 0)
                names.insert(region_name(name));
        }
        return random.below(4) == 0 ? region_set::all()
                                    : region_set::only(std::move(names));
    }

    void
    place_randomly(fleet& played, core::random& random, core::time_point now)
    {
        constexpr std::array purposes{
            placement_purpose::start,
            placement_purpose::short_start,
            placement_purpose::late_start,
            placement_purpose::migration,
            placement_purpose::rebalance};
        placement_request request = request_;
        request.purpose = purposes.at(random.below(purposes.size()));
        request.preferred_zone =
            zone_name(zone_names.at(random.below(zone_names.size())));
        request.requires_preferred_zone =
            request.purpose == placement_purpose::rebalance;
        request.allowed_regions =
            random_regions(random).intersection(random_regions(random));
        const auto chosen = played.chooser.choose(request, now);
        if (!chosen)
            return;
        CPPUNIT_ASSERT(
            regions_.is_in(chosen->server.zone, request.allowed_regions));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placer_regions_test);

} // namespace
