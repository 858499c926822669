#include <godwit/platform_adapter/store_epoch_tracker.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace {

using godwit::platform_adapter::epoch_status;
using godwit::platform_adapter::store_epoch_tracker;

class store_epoch_tracker_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_epoch_tracker_test);
    CPPUNIT_TEST(test_an_increase_by_one_is_a_restore);
    CPPUNIT_TEST(test_an_earlier_epoch_is_outdated);
    CPPUNIT_TEST(test_a_larger_increase_has_to_be_named_twice);
    CPPUNIT_TEST(test_a_wrong_epoch_is_replaced);
    CPPUNIT_TEST(test_malformed_epochs_are_ignored);
    CPPUNIT_TEST(test_a_store_without_epochs_is_accepted);
    CPPUNIT_TEST_SUITE_END();

    void test_an_increase_by_one_is_a_restore()
    {
        store_epoch_tracker epochs;
        CPPUNIT_ASSERT(epochs.observe("0") == epoch_status::current);
        CPPUNIT_ASSERT(epochs.observe("0") == epoch_status::current);
        CPPUNIT_ASSERT(epochs.observe("1") == epoch_status::restored);
        CPPUNIT_ASSERT(epochs.observe("1") == epoch_status::current);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, epochs.current());
    }

    void test_an_earlier_epoch_is_outdated()
    {
        store_epoch_tracker epochs;
        CPPUNIT_ASSERT(epochs.observe("4") == epoch_status::current);
        CPPUNIT_ASSERT(epochs.observe("5") == epoch_status::restored);
        CPPUNIT_ASSERT(epochs.observe("4") == epoch_status::outdated);
        CPPUNIT_ASSERT(epochs.observe("5") == epoch_status::current);
    }

    void test_a_larger_increase_has_to_be_named_twice()
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

    void test_a_wrong_epoch_is_replaced()
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

    void test_malformed_epochs_are_ignored()
    {
        store_epoch_tracker epochs;
        CPPUNIT_ASSERT(epochs.observe("4") == epoch_status::current);
        for (const char* text : {"", " 5", "5x", "-1", "18446744073709551616"})
            CPPUNIT_ASSERT(epochs.observe(text) == epoch_status::invalid);
        CPPUNIT_ASSERT(epochs.observe(std::nullopt) == epoch_status::invalid);
        CPPUNIT_ASSERT(epochs.observe("5") == epoch_status::restored);
    }

    void test_a_store_without_epochs_is_accepted()
    {
        store_epoch_tracker epochs;
        CPPUNIT_ASSERT(epochs.observe(std::nullopt) == epoch_status::current);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, epochs.current());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_epoch_tracker_test);

} // namespace
