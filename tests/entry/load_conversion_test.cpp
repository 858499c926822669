#include <godwit/entry/load_conversion.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>

namespace {

using namespace godwit;

class load_conversion_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_conversion_test);
    CPPUNIT_TEST(test_load_survives_a_round_trip);
    CPPUNIT_TEST(test_impossible_gaps_are_rejected);
    CPPUNIT_TEST_SUITE_END();

    void test_load_survives_a_round_trip()
    {
        const placement::server_id server("i-1");
        const placement::work_size work{3, 9000, 1200, 700, {2, 84}};
        const auto received =
            entry::from_wire({entry::to_wire(server, work)}).work;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, received.size());
        CPPUNIT_ASSERT(received.front().server == server);
        CPPUNIT_ASSERT(received.front().work == work);
    }

    static wire::server_work
    wire_load(std::uint32_t streams, std::uint32_t gap_ms)
    {
        return {"i-1", 3, 9000, 0, 0, streams, gap_ms};
    }

    static bool has_valid_gaps(const wire::server_work& received)
    {
        return entry::from_wire({received}).refused_gaps == 0;
    }

    void test_impossible_gaps_are_rejected()
    {
        constexpr auto most = std::numeric_limits<std::uint32_t>::max();
        CPPUNIT_ASSERT(has_valid_gaps(wire_load(3, 3 * 2000)));
        CPPUNIT_ASSERT(!has_valid_gaps(wire_load(3, 3 * 2000 + 1)));
        CPPUNIT_ASSERT(!has_valid_gaps(wire_load(0, 1)));
        CPPUNIT_ASSERT(!has_valid_gaps(wire_load(4, 120)));
        CPPUNIT_ASSERT(!has_valid_gaps(wire_load(most, most)));
        // The rest of the load report is still used.
        const auto received = entry::from_wire({wire_load(4, 120)}).work;
        CPPUNIT_ASSERT(
            received.front().work == (placement::work_size{3, 9000, 0, 0, {}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_conversion_test);

} // namespace
