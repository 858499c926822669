#include <godwit/entry/load_conversion.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstdint>
#include <limits>

namespace {

using namespace godwit;

class load_conversion_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(load_conversion_test);
    CPPUNIT_TEST(test_work_comes_back_as_it_was_told);
    CPPUNIT_TEST(test_gaps_that_cannot_be_are_not_believed);
    CPPUNIT_TEST_SUITE_END();

    void test_work_comes_back_as_it_was_told()
    {
        const placement::server_id server("i-1");
        const placement::work_size work{3, 9000, 1200, 700, {2, 84}};
        const auto heard =
            entry::from_wire({entry::to_wire(server, work)}).work;
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, heard.size());
        CPPUNIT_ASSERT(heard.front().server == server);
        CPPUNIT_ASSERT(heard.front().work == work);
    }

    static wire::server_work told(std::uint32_t streams, std::uint32_t gap_ms)
    {
        return {"i-1", 3, 9000, 0, 0, streams, gap_ms};
    }

    static bool has_valid_gaps(const wire::server_work& said)
    {
        return entry::from_wire({said}).refused_gaps == 0;
    }

    void test_gaps_that_cannot_be_are_not_believed()
    {
        constexpr auto most = std::numeric_limits<std::uint32_t>::max();
        CPPUNIT_ASSERT(has_valid_gaps(told(3, 3 * 2000)));
        CPPUNIT_ASSERT(!has_valid_gaps(told(3, 3 * 2000 + 1)));
        CPPUNIT_ASSERT(!has_valid_gaps(told(0, 1)));
        CPPUNIT_ASSERT(!has_valid_gaps(told(4, 120)));
        CPPUNIT_ASSERT(!has_valid_gaps(told(most, most)));
        // The work itself is as true as before.
        const auto heard = entry::from_wire({told(4, 120)}).work;
        CPPUNIT_ASSERT(
            heard.front().work == (placement::work_size{3, 9000, 0, 0, {}}));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_conversion_test);

} // namespace
