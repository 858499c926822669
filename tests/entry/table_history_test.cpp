#include <godwit/entry/table_history.hpp>

#include <godwit/delta/content_digest.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace {

using namespace godwit;
using entry::table_history;

/// As long as a table of some hundred routes, different for each version.
std::string text_of(std::uint64_t version)
{
    std::string text;
    for (int at = 0; at < 500; ++at)
        text += "route " + std::to_string(at * 7919) + "\n";
    return text + "version " + std::to_string(version);
}

class table_history_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_history_test);
    CPPUNIT_TEST(test_a_host_one_version_behind_gets_one_change);
    CPPUNIT_TEST(test_a_host_several_versions_behind_gets_each_change);
    CPPUNIT_TEST(test_received_changes_are_forwarded);
    CPPUNIT_TEST(test_a_host_with_an_unknown_text_gets_the_full_table);
    CPPUNIT_TEST(test_old_changes_are_evicted);
    CPPUNIT_TEST(test_changes_to_another_text_are_rejected);
    CPPUNIT_TEST(test_invalid_changes_are_rejected);
    CPPUNIT_TEST(test_there_are_no_changes_without_a_table);
    CPPUNIT_TEST_SUITE_END();

    static table_history with(std::uint64_t first, std::uint64_t last)
    {
        table_history history;
        for (std::uint64_t version = first; version <= last; ++version)
            history.set_full(version, text_of(version));
        return history;
    }

    static std::string digest_of(std::uint64_t version)
    {
        return delta::content_digest(text_of(version));
    }

    void test_a_host_one_version_behind_gets_one_change()
    {
        table_history ahead = with(1, 2);
        const table_history behind = with(1, 1);
        const auto changes = ahead.changes_from(behind.digest()).value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, changes.steps.size());
        CPPUNIT_ASSERT(changes.steps[0].compressed.size() < 100);
        CPPUNIT_ASSERT(behind.apply(changes).value() == text_of(2));
    }

    void test_a_host_several_versions_behind_gets_each_change()
    {
        table_history ahead = with(1, 5);
        const table_history behind = with(2, 2);
        const auto changes = ahead.changes_from(behind.digest()).value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, changes.steps.size());
        CPPUNIT_ASSERT(behind.apply(changes).value() == text_of(5));
    }

    void test_received_changes_are_forwarded()
    {
        table_history first = with(1, 4);
        table_history second = with(1, 2);
        const auto changes = first.changes_from(second.digest()).value();
        second.set_from_changes(second.apply(changes).value(), changes);
        CPPUNIT_ASSERT(second.digest() == first.digest());
        const table_history third = with(2, 2);
        const auto forwarded = second.changes_from(third.digest()).value();
        CPPUNIT_ASSERT(forwarded == changes);
        // The versions before these changes are still known.
        const table_history fourth = with(1, 1);
        const auto more = second.changes_from(fourth.digest()).value();
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, more.steps.size());
        CPPUNIT_ASSERT(fourth.apply(more).value() == text_of(4));
    }

    void test_a_host_with_an_unknown_text_gets_the_full_table()
    {
        table_history ahead = with(1, 3);
        const table_history new_host;
        for (const std::string& base : {new_host.digest(), digest_of(9)}) {
            const auto changes = ahead.changes_from(base).value();
            CPPUNIT_ASSERT(changes.base.empty());
            CPPUNIT_ASSERT(new_host.apply(changes).value() == text_of(3));
        }
        // A host with another text can also apply it.
        table_history other = with(9, 9);
        const auto changes = ahead.changes_from(other.digest()).value();
        other.set_from_changes(other.apply(changes).value(), changes);
        CPPUNIT_ASSERT(other.text() == text_of(3));
        const auto onwards = other.changes_from(digest_of(9)).value();
        CPPUNIT_ASSERT(with(9, 9).apply(onwards).value() == text_of(3));
    }

    void test_old_changes_are_evicted()
    {
        table_history ahead = with(1, table_history::max_steps + 2);
        CPPUNIT_ASSERT(ahead.changes_from(digest_of(1)).value().base.empty());
        CPPUNIT_ASSERT_EQUAL(
            table_history::max_steps,
            ahead.changes_from(digest_of(2)).value().steps.size());
    }

    void test_changes_to_another_text_are_rejected()
    {
        table_history ahead = with(1, 2);
        const auto changes = ahead.changes_from(digest_of(1)).value();
        const auto result = with(5, 5).apply(changes);
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(result.error().kind() == core::error_kind::expired);
    }

    void test_invalid_changes_are_rejected()
    {
        table_history ahead = with(1, 2);
        const table_history behind = with(1, 1);
        auto changes = ahead.changes_from(behind.digest()).value();
        changes.steps[0].made = digest_of(3);
        auto result = behind.apply(changes);
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(result.error().kind() == core::error_kind::protocol);
        changes.steps.clear();
        result = behind.apply(changes);
        CPPUNIT_ASSERT(!result);
        CPPUNIT_ASSERT(result.error().kind() == core::error_kind::protocol);
    }

    void test_there_are_no_changes_without_a_table()
    {
        table_history empty;
        CPPUNIT_ASSERT(empty.digest().empty());
        CPPUNIT_ASSERT(!empty.changes_from(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_history_test);

} // namespace
