// Guards against a change of a server that stays in the cell of the host which
// read it, because the primary reader that would tell the others has stopped.

#include <godwit/entry/withheld_changes.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>

namespace {

using namespace godwit;
using entry::withheld_changes;
using placement::server_id;

core::time_point at_ms(int milliseconds)
{
    return core::time_point(std::chrono::milliseconds(milliseconds));
}

class withheld_changes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(withheld_changes_test);
    CPPUNIT_TEST(test_a_change_that_nobody_told_is_sent_once);
    CPPUNIT_TEST(test_a_change_that_others_know_is_not_sent);
    CPPUNIT_TEST(test_a_later_change_of_the_server_is_sent);
    CPPUNIT_TEST_SUITE_END();

    withheld_changes changes_;

    void test_a_change_that_nobody_told_is_sent_once()
    {
        changes_.add(server_id("a"), at_ms(0));
        changes_.add(server_id("b"), at_ms(100));
        CPPUNIT_ASSERT(changes_.take_due(at_ms(249)).empty());
        CPPUNIT_ASSERT(
            changes_.take_due(at_ms(250)) == std::set{server_id("a")});
        CPPUNIT_ASSERT(
            changes_.take_due(at_ms(350)) == std::set{server_id("b")});
        CPPUNIT_ASSERT(changes_.take_due(at_ms(1000)).empty());
    }

    void test_a_change_that_others_know_is_not_sent()
    {
        changes_.add(server_id("a"), at_ms(0));
        changes_.remove(server_id("a"));
        CPPUNIT_ASSERT(changes_.take_due(at_ms(1000)).empty());
    }

    void test_a_later_change_of_the_server_is_sent()
    {
        changes_.add(server_id("a"), at_ms(0));
        changes_.add(server_id("a"), at_ms(200));
        CPPUNIT_ASSERT(changes_.take_due(at_ms(250)).empty());
        CPPUNIT_ASSERT(
            changes_.take_due(at_ms(450)) == std::set{server_id("a")});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(withheld_changes_test);

} // namespace
