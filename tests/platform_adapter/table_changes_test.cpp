// Guards against hosts sending the full route table for a small change, which
// takes only a few hundred bytes however large the table is, and against
// changes that do not reproduce the operator's text.

#include "fake_neighbours.hpp"
#include "testbed.hpp"

#include <godwit/delta/content_digest.hpp>
#include <godwit/entry/table_history.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace {

using namespace godwit;
using platform_adapter::test::fake_neighbours;
using platform_adapter::test::table_text;
using platform_adapter::test::testbed;

constexpr std::size_t max_small_change_bytes = 1024;

/// A neighbour with a newer table, and the pulls that it received; used on its
/// thread.
class newer_neighbour
{
public:
    newer_neighbour()
    {
        history_.set_full(1, table_text(1));
        history_.set_full(2, table_text(2, "k2"));
    }

    wire::table_changes answer(const wire::pull& pull)
    {
        const std::lock_guard guard(mutex_);
        pulls_.push_back(pull);
        return history_.changes_from(pull.base).value();
    }

    std::vector<wire::pull> pulls()
    {
        const std::lock_guard guard(mutex_);
        return pulls_;
    }

private:
    std::mutex mutex_;
    entry::table_history history_;
    std::vector<wire::pull> pulls_;
};

class table_changes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_changes_test);
    CPPUNIT_TEST(test_a_host_applies_changes);
    CPPUNIT_TEST(test_corrupt_changes_are_followed_by_a_full_table);
    CPPUNIT_TEST(test_a_host_sends_changes);
    CPPUNIT_TEST(test_a_host_of_an_earlier_release_gets_the_full_table);
    CPPUNIT_TEST_SUITE_END();

    static void await_version(testbed& tested, std::uint64_t version)
    {
        testbed::wait_until("the version", [&tested, version] {
            return tested.table_version() == version;
        });
    }

    void test_a_host_applies_changes()
    {
        newer_neighbour newer;
        testbed tested;
        tested.start_without_store();
        fake_neighbours others(
            1, tested.neighbours(), [&newer](const wire::pull& pull) {
                return newer.answer(pull);
            });
        others.announce_table_version(2);
        await_version(tested, 2);
        CPPUNIT_ASSERT_EQUAL(200U, tested.call("GET", "/plain/", "k2").status);
        const auto pulls = newer.pulls();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, pulls.size());
        CPPUNIT_ASSERT(pulls[0].base == delta::content_digest(table_text(1)));
    }

    void test_corrupt_changes_are_followed_by_a_full_table()
    {
        newer_neighbour newer;
        testbed tested;
        tested.start_without_store();
        fake_neighbours others(
            1, tested.neighbours(), [&newer](const wire::pull& pull) {
                wire::table_changes changes = newer.answer(pull);
                if (!changes.base.empty())
                    changes.steps[0].compressed[8] ^= 1;
                return changes;
            });
        others.announce_table_version(2);
        await_version(tested, 2);
        const auto pulls = newer.pulls();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, pulls.size());
        CPPUNIT_ASSERT(pulls[1].base.empty());
        CPPUNIT_ASSERT_EQUAL(200U, tested.call("GET", "/plain/", "k2").status);
    }

    static wire::message pull_table(fake_neighbours& others, wire::pull pull)
    {
        others.broadcast(pull);
        testbed::wait_until(
            "a table", [&others] { return !others.table_messages().empty(); });
        return others.table_messages().front();
    }

    void test_a_host_sends_changes()
    {
        testbed tested;
        tested.start();
        tested.publish(2, "k2");
        await_version(tested, 2);
        fake_neighbours others(1, tested.neighbours(), [](const wire::pull&) {
            return std::nullopt;
        });
        entry::table_history older;
        older.set_full(1, table_text(1));
        const auto received = std::get<wire::table_changes>(
            pull_table(others, wire::pull{2, older.digest(), true}));
        CPPUNIT_ASSERT(
            received.steps.at(0).compressed.size() < max_small_change_bytes);
        CPPUNIT_ASSERT(older.apply(received).value() == table_text(2, "k2"));
    }

    void test_a_host_of_an_earlier_release_gets_the_full_table()
    {
        testbed tested;
        tested.start();
        fake_neighbours others(1, tested.neighbours(), [](const wire::pull&) {
            return std::nullopt;
        });
        const auto received =
            std::get<wire::table_document>(pull_table(others, wire::pull{1}));
        CPPUNIT_ASSERT(received.text == table_text(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_changes_test);

} // namespace
