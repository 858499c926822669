#include <godwit/entry/neighbour_traffic.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit;
using entry::neighbour_traffic;

class neighbour_traffic_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(neighbour_traffic_test);
    CPPUNIT_TEST(test_counts_are_logged_at_intervals);
    CPPUNIT_TEST_SUITE_END();

    static core::time_point at_s(int seconds)
    {
        return core::time_point(std::chrono::seconds(seconds));
    }

    void test_counts_are_logged_at_intervals()
    {
        neighbour_traffic traffic;
        CPPUNIT_ASSERT(!traffic.take_due(at_s(0)));
        traffic.record("pull", true, 20);
        traffic.record("pull", true, 30);
        traffic.record("heartbeat", false, 8);
        traffic.record("cell_work", true, 900);
        CPPUNIT_ASSERT(!traffic.take_due(at_s(9)));
        const neighbour_traffic::log_line expected{
            "heartbeat:1:8", "cell_work:1:900,pull:2:50"};
        CPPUNIT_ASSERT(traffic.take_due(at_s(10)) == expected);
        CPPUNIT_ASSERT(
            traffic.take_due(at_s(20)) == neighbour_traffic::log_line());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(neighbour_traffic_test);

} // namespace
