#include "samples.hpp"

#include <godwit/placement/zone_evacuations.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace godwit;
using namespace godwit::placement;
using namespace godwit::placement::test;

class zone_evacuations_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(zone_evacuations_test);
    CPPUNIT_TEST(test_an_evacuation_lasts_until_it_is_taken_back);
    CPPUNIT_TEST(test_a_late_message_does_not_revive_an_evacuation);
    CPPUNIT_TEST(test_a_late_message_does_not_end_an_evacuation);
    CPPUNIT_TEST(test_a_message_older_than_a_complete_read_is_ignored);
    CPPUNIT_TEST(test_a_zone_missing_in_a_snapshot_is_not_evacuated);
    CPPUNIT_TEST(test_an_evacuation_right_after_a_snapshot_counts);
    CPPUNIT_TEST(test_an_evacuation_survives_a_restored_source);
    CPPUNIT_TEST(test_an_evacuation_repeated_after_a_restore_stays);
    CPPUNIT_TEST(test_an_evacuation_not_repeated_after_a_restore_ends);
    CPPUNIT_TEST(test_a_started_host_keeps_an_evacuation_of_a_former_epoch);
    CPPUNIT_TEST(test_sequence_numbers_assigned_again_without_epochs);
    CPPUNIT_TEST(test_a_stopped_run_may_resume_for_a_moment);
    CPPUNIT_TEST(test_the_number_of_zones_is_bounded);
    CPPUNIT_TEST_SUITE_END();

    zone_evacuations zones_;
    const core::zone_name east_{"east"};
    const core::zone_name west_{"west"};

    static zone_evacuation begun(
        const core::zone_name& zone,
        std::uint64_t sequence,
        std::uint64_t epoch = 1)
    {
        return {zone, true, {epoch, sequence}};
    }

    static zone_evacuation ended(
        const core::zone_name& zone,
        std::uint64_t sequence,
        std::uint64_t epoch = 1)
    {
        return {zone, false, {epoch, sequence}};
    }

    void test_an_evacuation_lasts_until_it_is_taken_back()
    {
        CPPUNIT_ASSERT(!zones_.is_evacuated(east_));
        CPPUNIT_ASSERT(zones_.update(begun(east_, 5), at_ms(0)));
        CPPUNIT_ASSERT(!zones_.update(begun(east_, 5), at_ms(1)));
        CPPUNIT_ASSERT(zones_.is_evacuated(east_));
        CPPUNIT_ASSERT(!zones_.is_evacuated(west_));
        CPPUNIT_ASSERT(!zones_.ended_at(east_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zones_.count());
        CPPUNIT_ASSERT(zones_.update(ended(east_, 6), at_ms(90)));
        CPPUNIT_ASSERT(!zones_.is_evacuated(east_));
        CPPUNIT_ASSERT(at_ms(90) == zones_.ended_at(east_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, zones_.count());
    }

    void test_a_late_message_does_not_revive_an_evacuation()
    {
        zones_.update_from_neighbour(begun(east_, 5), at_ms(0));
        zones_.update_from_neighbour(ended(east_, 6), at_ms(1));
        CPPUNIT_ASSERT(
            !zones_.update_from_neighbour(begun(east_, 5), at_ms(2)));
        CPPUNIT_ASSERT(!zones_.is_evacuated(east_));
    }

    void test_a_late_message_does_not_end_an_evacuation()
    {
        zones_.update_from_neighbour(begun(east_, 7), at_ms(0));
        CPPUNIT_ASSERT(
            !zones_.update_from_neighbour(ended(east_, 6), at_ms(1)));
        CPPUNIT_ASSERT(zones_.is_evacuated(east_));
    }

    // The neighbour was cut off when the evacuation ended.
    void test_a_message_older_than_a_complete_read_is_ignored()
    {
        CPPUNIT_ASSERT(zones_.apply_snapshot({}, {1, 9}, at_ms(0)).empty());
        CPPUNIT_ASSERT(
            !zones_.update_from_neighbour(begun(east_, 5), at_ms(1)));
        CPPUNIT_ASSERT(!zones_.is_evacuated(east_));
        CPPUNIT_ASSERT(
            zones_.update_from_neighbour(begun(east_, 10), at_ms(2)));
        CPPUNIT_ASSERT(zones_.is_evacuated(east_));
    }

    void test_a_zone_missing_in_a_snapshot_is_not_evacuated()
    {
        zones_.apply_snapshot(
            {begun(east_, 5), begun(west_, 6)}, {1, 6}, at_ms(0));
        const auto changes =
            zones_.apply_snapshot({begun(west_, 6)}, {1, 8}, at_ms(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.size());
        CPPUNIT_ASSERT(ended(east_, 8) == changes.front());
        CPPUNIT_ASSERT(!zones_.is_evacuated(east_));
        CPPUNIT_ASSERT(zones_.is_evacuated(west_));
    }

    void test_an_evacuation_right_after_a_snapshot_counts()
    {
        zones_.apply_snapshot({begun(east_, 5)}, {1, 5}, at_ms(0));
        zones_.apply_snapshot({}, {1, 8}, at_ms(1));
        CPPUNIT_ASSERT(zones_.update(begun(east_, 9), at_ms(2)));
        CPPUNIT_ASSERT(zones_.is_evacuated(east_));
    }

    void test_an_evacuation_survives_a_restored_source()
    {
        zones_.apply_snapshot({begun(east_, 9)}, {1, 9}, at_ms(0));
        CPPUNIT_ASSERT(zones_.apply_snapshot({}, {2, 4}, at_ms(100)).empty());
        CPPUNIT_ASSERT(zones_.expire(at_ms(3000)).empty());
        // A second read within the grace does not end it, either.
        CPPUNIT_ASSERT(zones_.apply_snapshot({}, {2, 6}, at_ms(3000)).empty());
        CPPUNIT_ASSERT(zones_.is_evacuated(east_));
    }

    void test_an_evacuation_repeated_after_a_restore_stays()
    {
        zones_.apply_snapshot({begun(east_, 9)}, {1, 9}, at_ms(0));
        zones_.apply_snapshot({}, {2, 4}, at_ms(100));
        CPPUNIT_ASSERT(zones_.update(begun(east_, 5, 2), at_ms(2000)));
        CPPUNIT_ASSERT(zones_.expire(at_ms(60'000)).empty());
        CPPUNIT_ASSERT(zones_.is_evacuated(east_));
        CPPUNIT_ASSERT(zones_.update(ended(east_, 6, 2), at_ms(61'000)));
        CPPUNIT_ASSERT(!zones_.is_evacuated(east_));
    }

    // It was taken back after this host had last read the source.
    void test_an_evacuation_not_repeated_after_a_restore_ends()
    {
        zones_.apply_snapshot({begun(east_, 9)}, {1, 9}, at_ms(0));
        zones_.apply_snapshot({}, {2, 4}, at_ms(100));
        const auto ended_zones = zones_.expire(at_ms(6100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, ended_zones.size());
        CPPUNIT_ASSERT(!zones_.is_evacuated(east_));
        CPPUNIT_ASSERT(zones_.update(begun(east_, 5, 2), at_ms(6200)));
    }

    void test_a_started_host_keeps_an_evacuation_of_a_former_epoch()
    {
        zones_.apply_snapshot({}, {2, 4}, at_ms(0));
        CPPUNIT_ASSERT(
            zones_.update_from_neighbour(begun(east_, 9), at_ms(10)));
        CPPUNIT_ASSERT(zones_.is_evacuated(east_));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, zones_.expire(at_ms(6010)).size());
        CPPUNIT_ASSERT(!zones_.is_evacuated(east_));
    }

    void test_sequence_numbers_assigned_again_without_epochs()
    {
        zones_.apply_snapshot({}, {0, 5}, at_ms(0));
        zones_.update(begun(east_, 49, 0), at_ms(1));
        zones_.update(ended(east_, 50, 0), at_ms(2));
        zones_.apply_snapshot({}, {0, 40}, at_ms(3));
        CPPUNIT_ASSERT(zones_.update(begun(east_, 41, 0), at_ms(4)));
        CPPUNIT_ASSERT(zones_.is_evacuated(east_));
    }

    void test_a_stopped_run_may_resume_for_a_moment()
    {
        CPPUNIT_ASSERT(zones_.may_resume(east_, at_ms(0)));
        zones_.update(begun(east_, 5), at_ms(0));
        CPPUNIT_ASSERT(zones_.may_resume(east_, at_ms(900)));
        CPPUNIT_ASSERT(!zones_.may_resume(east_, at_ms(1000)));
        // Its repetition does not prolong the time.
        zones_.update(begun(east_, 6), at_ms(1000));
        CPPUNIT_ASSERT(!zones_.may_resume(east_, at_ms(1001)));
    }

    void test_the_number_of_zones_is_bounded()
    {
        zones_.update(begun(east_, 1), at_ms(0));
        for (std::uint64_t number = 2; number < 1000; ++number)
            zones_.update(
                ended(core::zone_name("z" + std::to_string(number)), number),
                at_ms(0));
        CPPUNIT_ASSERT(zones_.changes().size() <= zone_evacuations::max_zones);
        CPPUNIT_ASSERT(zones_.is_evacuated(east_));
        CPPUNIT_ASSERT(zones_.update(begun(west_, 1000), at_ms(1)));
        CPPUNIT_ASSERT(zones_.is_evacuated(west_));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(zone_evacuations_test);

} // namespace
