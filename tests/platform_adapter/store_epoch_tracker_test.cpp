#include <godwit/platform_adapter/store_epoch_tracker.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace {

using godwit::platform_adapter::epoch_status;
using godwit::platform_adapter::store_epoch_tracker;

class store_epoch_tracker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_epoch_tracker_test);
    CPPUNIT_TEST(test_a_rise_by_one_is_a_restore);
    CPPUNIT_TEST(test_an_earlier_era_says_nothing);
    CPPUNIT_TEST(test_a_larger_rise_has_to_be_named_twice);
    CPPUNIT_TEST(test_a_false_era_does_not_last);
    CPPUNIT_TEST(test_what_is_no_era_changes_nothing);
    CPPUNIT_TEST(test_a_store_without_eras_is_believed);
    CPPUNIT_TEST_SUITE_END();

    void test_a_rise_by_one_is_a_restore()
    {
        store_epoch_tracker epochs;
        CPPUNIT_ASSERT(epochs.observe("0") == epoch_status::current);
        CPPUNIT_ASSERT(epochs.observe("0") == epoch_status::current);
        CPPUNIT_ASSERT(epochs.observe("1") == epoch_status::restored);
        CPPUNIT_ASSERT(epochs.observe("1") == epoch_status::current);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, epochs.current());
    }

    void test_an_earlier_era_says_nothing()
    {
        store_epoch_tracker epochs;
        CPPUNIT_ASSERT(epochs.observe("4") == epoch_status::current);
        CPPUNIT_ASSERT(epochs.observe("5") == epoch_status::restored);
        CPPUNIT_ASSERT(epochs.observe("4") == epoch_status::outdated);
        CPPUNIT_ASSERT(epochs.observe("5") == epoch_status::current);
    }

    void test_a_larger_rise_has_to_be_named_twice()
    {
        store_epoch_tracker epochs;
        CPPUNIT_ASSERT(epochs.observe("4") == epoch_status::current);
        CPPUNIT_ASSERT(
            epochs.observe("18446744073709551615") ==
            epoch_status::unconfirmed);
        CPPUNIT_ASSERT(epochs.observe("4") == epoch_status::current);
        CPPUNIT_ASSERT(epochs.observe("7") == epoch_status::unconfirmed);
        CPPUNIT_ASSERT(epochs.observe("7") == epoch_status::restored);
    }

    void test_a_false_era_does_not_last()
    {
        store_epoch_tracker epochs;
        CPPUNIT_ASSERT(epochs.observe("4") == epoch_status::current);
        CPPUNIT_ASSERT(epochs.observe("5") == epoch_status::restored);
        for (unsigned count = 1; count < store_epoch_tracker::outdated_limit;
             ++count)
            CPPUNIT_ASSERT(epochs.observe("4") == epoch_status::outdated);
        CPPUNIT_ASSERT(epochs.observe("4") == epoch_status::restored);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, epochs.current());
    }

    void test_what_is_no_era_changes_nothing()
    {
        store_epoch_tracker epochs;
        CPPUNIT_ASSERT(epochs.observe("4") == epoch_status::current);
        for (const char* text : {"", " 5", "5x", "-1", "18446744073709551616"})
            CPPUNIT_ASSERT(epochs.observe(text) == epoch_status::invalid);
        CPPUNIT_ASSERT(epochs.observe(std::nullopt) == epoch_status::invalid);
        CPPUNIT_ASSERT(epochs.observe("5") == epoch_status::restored);
    }

    void test_a_store_without_eras_is_believed()
    {
        store_epoch_tracker epochs;
        CPPUNIT_ASSERT(epochs.observe(std::nullopt) == epoch_status::current);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, epochs.current());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_epoch_tracker_test);

} // namespace
