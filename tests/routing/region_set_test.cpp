#include <godwit/routing/region_set.hpp>
#include <godwit/routing/zone_regions.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit;
using core::region_name;
using core::zone_name;
using routing::region_set;
using routing::zone_regions;

const region_name north("north");
const region_name south("south");

class region_set_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(region_set_test);
    CPPUNIT_TEST(test_an_intersection_binds_both_sets);
    CPPUNIT_TEST(test_a_zone_without_region_is_only_in_all_regions);
    CPPUNIT_TEST(test_regions_differ_only_if_both_are_known);
    CPPUNIT_TEST_SUITE_END();

    void test_an_intersection_binds_both_sets()
    {
        const region_set all = region_set::all();
        const region_set one = region_set::only({north});
        const region_set both = region_set::only({north, south});
        const region_set other = region_set::only({south});
        CPPUNIT_ASSERT(all.intersection(all).is_unrestricted());
        CPPUNIT_ASSERT(all.intersection(one) == one);
        CPPUNIT_ASSERT(one.intersection(all) == one);
        CPPUNIT_ASSERT(both.intersection(one) == one);
        const region_set none = one.intersection(other);
        CPPUNIT_ASSERT(!none.is_unrestricted());
        CPPUNIT_ASSERT(!none.contains(north) && !none.contains(south));
    }

    void test_a_zone_without_region_is_only_in_all_regions()
    {
        const zone_regions known({{zone_name("a"), north}});
        const zone_name unknown("b");
        const region_set one = region_set::only({north});
        CPPUNIT_ASSERT(known.is_in(unknown, region_set::all()));
        CPPUNIT_ASSERT(!known.is_in(unknown, one));
        CPPUNIT_ASSERT(known.is_in(zone_name("a"), one));
        CPPUNIT_ASSERT(known.has_zone_in(one));
        CPPUNIT_ASSERT(!known.has_zone_in(region_set::only({south})));
        CPPUNIT_ASSERT(!known.has_zone_in(region_set::only({})));
        CPPUNIT_ASSERT(zone_regions().has_zone_in(region_set::all()));
    }

    void test_regions_differ_only_if_both_are_known()
    {
        const zone_name a("a");
        const zone_name b("b");
        const zone_name c("c");
        const zone_regions known({{a, north}, {b, south}});
        CPPUNIT_ASSERT(known.are_in_different_regions(a, b));
        CPPUNIT_ASSERT(!known.are_in_different_regions(a, a));
        CPPUNIT_ASSERT(!known.are_in_different_regions(a, c));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(region_set_test);

} // namespace
