#include <godwit/admission/byte_budget.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <cstddef>
#include <deque>

namespace {

using godwit::admission::byte_budget;

constexpr std::size_t limit = std::size_t{1024} * 1024;

class byte_budget_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(byte_budget_test);
    CPPUNIT_TEST(test_one_holder_may_have_all);
    CPPUNIT_TEST(test_a_small_holder_grows_beside_a_large_one);
    CPPUNIT_TEST(test_the_bytes_of_many_stay_bounded);
    CPPUNIT_TEST(test_a_destroyed_lease_gives_back);
    CPPUNIT_TEST_SUITE_END();

    byte_budget budget_ = byte_budget::create(limit);

    // Guards against refusing a large body that is alone.
    void test_one_holder_may_have_all()
    {
        byte_budget::lease only(budget_);
        CPPUNIT_ASSERT(only.try_grow(limit));
        CPPUNIT_ASSERT(!only.try_grow(1));
    }

    // Guards against a server without end that spoils the bodies of others.
    void test_a_small_holder_grows_beside_a_large_one()
    {
        byte_budget::lease large(budget_);
        byte_budget::lease small(budget_);
        CPPUNIT_ASSERT(large.try_grow(limit));
        CPPUNIT_ASSERT(small.try_grow(limit / 2));
        CPPUNIT_ASSERT(!small.try_grow(1));
        CPPUNIT_ASSERT(!large.try_grow(1));
    }

    // Guards against a sum that grows with the number of bodies without end.
    void test_the_bytes_of_many_stay_bounded()
    {
        constexpr std::size_t piece = 1024;
        constexpr std::size_t holders = 40;
        std::deque<byte_budget::lease> leases;
        for (std::size_t each = 0; each < holders; ++each)
            leases.emplace_back(budget_);
        bool has_grown = true;
        while (has_grown) {
            has_grown = false;
            for (byte_budget::lease& each : leases)
                has_grown = each.try_grow(piece) || has_grown;
        }
        CPPUNIT_ASSERT(budget_.used() <= limit);
    }

    // Guards against a budget that bodies which ended use up.
    void test_a_destroyed_lease_gives_back()
    {
        {
            byte_budget::lease ended(budget_);
            CPPUNIT_ASSERT(ended.try_grow(limit));
        }
        byte_budget::lease next(budget_);
        CPPUNIT_ASSERT(next.try_grow(limit));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(byte_budget_test);
