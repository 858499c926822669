#include <godwit/platform_adapter/store_epoch_tracker.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace {

using godwit::platform_adapter::era_sign;
using godwit::platform_adapter::store_eras;

class store_eras_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(store_eras_test);
    CPPUNIT_TEST(test_a_rise_by_one_is_a_restore);
    CPPUNIT_TEST(test_an_earlier_era_says_nothing);
    CPPUNIT_TEST(test_a_larger_rise_has_to_be_named_twice);
    CPPUNIT_TEST(test_a_false_era_does_not_last);
    CPPUNIT_TEST(test_what_is_no_era_changes_nothing);
    CPPUNIT_TEST(test_a_store_without_eras_is_believed);
    CPPUNIT_TEST_SUITE_END();

    void test_a_rise_by_one_is_a_restore()
    {
        store_eras eras;
        CPPUNIT_ASSERT(eras.note("0") == era_sign::current);
        CPPUNIT_ASSERT(eras.note("0") == era_sign::current);
        CPPUNIT_ASSERT(eras.note("1") == era_sign::restored);
        CPPUNIT_ASSERT(eras.note("1") == era_sign::current);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, eras.current());
    }

    void test_an_earlier_era_says_nothing()
    {
        store_eras eras;
        CPPUNIT_ASSERT(eras.note("4") == era_sign::current);
        CPPUNIT_ASSERT(eras.note("5") == era_sign::restored);
        CPPUNIT_ASSERT(eras.note("4") == era_sign::outdated);
        CPPUNIT_ASSERT(eras.note("5") == era_sign::current);
    }

    void test_a_larger_rise_has_to_be_named_twice()
    {
        store_eras eras;
        CPPUNIT_ASSERT(eras.note("4") == era_sign::current);
        CPPUNIT_ASSERT(eras.note("18446744073709551615") == era_sign::doubtful);
        CPPUNIT_ASSERT(eras.note("4") == era_sign::current);
        CPPUNIT_ASSERT(eras.note("7") == era_sign::doubtful);
        CPPUNIT_ASSERT(eras.note("7") == era_sign::restored);
    }

    void test_a_false_era_does_not_last()
    {
        store_eras eras;
        CPPUNIT_ASSERT(eras.note("4") == era_sign::current);
        CPPUNIT_ASSERT(eras.note("5") == era_sign::restored);
        for (unsigned count = 1; count < store_eras::outdated_limit; ++count)
            CPPUNIT_ASSERT(eras.note("4") == era_sign::outdated);
        CPPUNIT_ASSERT(eras.note("4") == era_sign::restored);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, eras.current());
    }

    void test_what_is_no_era_changes_nothing()
    {
        store_eras eras;
        CPPUNIT_ASSERT(eras.note("4") == era_sign::current);
        for (const char* text : {"", " 5", "5x", "-1", "18446744073709551616"})
            CPPUNIT_ASSERT(eras.note(text) == era_sign::refused);
        CPPUNIT_ASSERT(eras.note(std::nullopt) == era_sign::refused);
        CPPUNIT_ASSERT(eras.note("5") == era_sign::restored);
    }

    void test_a_store_without_eras_is_believed()
    {
        store_eras eras;
        CPPUNIT_ASSERT(eras.note(std::nullopt) == era_sign::current);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, eras.current());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_eras_test);

} // namespace
