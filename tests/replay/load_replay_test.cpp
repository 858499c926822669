#include <godwit/replay/fleet_replay.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <godwit/core/random.hpp>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace {

using namespace godwit;
using namespace godwit::replay;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

constexpr core::duration objective = std::chrono::milliseconds(1800);

// Long text: 3,000 tokens in, some 900 out.
generation_order long_order(std::size_t host, int arrives_ms)
{
    return {
        host,
        at_ms(arrives_ms),
        objective,
        std::chrono::seconds(39),
        0,
        3000,
        900,
        800};
}

// Nine hosts and their engines in three zones.
fleet_shape nine_hosts(std::size_t engines)
{
    fleet_shape fleet;
    fleet.host_zones = {0, 0, 0, 0, 1, 1, 1, 2, 2};
    for (std::size_t engine = 0; engine < engines; ++engine)
        fleet.engines.push_back({engine % 3, at_ms(0)});
    return fleet;
}

std::size_t begun_late(
    const std::vector<generation_order>& orders,
    const std::vector<generation_fate>& fates)
{
    std::size_t late = 0;
    for (std::size_t each = 0; each < orders.size(); ++each) {
        const bool is_in_time =
            fates[each].first_event &&
            *fates[each].first_event - orders[each].arrives <= objective;
        late += is_in_time ? 0 : 1;
    }
    return late;
}

class load_replay_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_replay_test);
    CPPUNIT_TEST(test_a_calm_load_is_served_in_time);
    CPPUNIT_TEST(test_a_replay_repeats);
    CPPUNIT_TEST(test_hosts_do_not_rush_onto_an_engine_that_joins);
    CPPUNIT_TEST_SUITE_END();

    static std::vector<generation_order> steady_load(double a_second)
    {
        std::vector<generation_order> orders;
        core::random random(7);
        for (double at = 0; at < 20000; at += 2000.0 * random.unit() / a_second)
            orders.push_back(long_order(random.below(9), static_cast<int>(at)));
        return orders;
    }

    void test_a_calm_load_is_served_in_time()
    {
        const auto orders = steady_load(5.0);
        const auto fates = replay_fleet(nine_hosts(14), orders, at_ms(45000));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, begun_late(orders, fates));
        for (const generation_fate& fate : fates)
            CPPUNIT_ASSERT(fate.ended && fate.preemptions == 0);
    }

    void test_a_replay_repeats()
    {
        const auto orders = steady_load(12.0);
        CPPUNIT_ASSERT(
            replay_fleet(nine_hosts(9), orders, at_ms(20000)) ==
            replay_fleet(nine_hosts(9), orders, at_ms(20000)));
    }

    // Engines are full and every host has requests that wait; then an empty
    // one joins, of which all hosts hear at the same moment.
    void test_hosts_do_not_rush_onto_an_engine_that_joins()
    {
        fleet_shape fleet = nine_hosts(3);
        fleet.engines.push_back({0, at_ms(3000)});
        std::vector<generation_order> orders;
        orders.reserve(27 + 18);
        for (int each = 0; each < 27; ++each)
            orders.push_back(
                long_order(static_cast<std::size_t>(each % 9), 50 * each));
        const std::size_t filling = orders.size();
        for (int each = 0; each < 18; ++each)
            orders.push_back(long_order(
                static_cast<std::size_t>(each % 9), 2700 + 10 * each));
        const auto fates = replay_fleet(fleet, orders, at_ms(6000));
        std::vector<core::duration> reading;
        for (std::size_t each = filling; each < orders.size(); ++each) {
            if (!fates[each].placed || !fates[each].first_event)
                continue;
            reading.push_back(*fates[each].first_event - *fates[each].placed);
        }
        CPPUNIT_ASSERT(reading.size() >= 3);
        CPPUNIT_ASSERT(
            *std::max_element(reading.begin(), reading.end()) <= objective);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_replay_test);

} // namespace
