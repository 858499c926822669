// A change of a few words costs a few hundred bytes between hosts, however
// large the table is, and what is made of changes is the operator's text.

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

constexpr std::size_t most_bytes_a_small_change = 1024;

/// A neighbour's tables, and the questions that it got; used on its thread.
class ahead
{
public:
    ahead()
    {
        history_.set_full(1, table_text(1));
        history_.set_full(2, table_text(2, "k2"));
    }

    wire::table_changes answer(const wire::pull& asked)
    {
        const std::lock_guard guard(mutex_);
        asked_.push_back(asked);
        return history_.changes_from(asked.base).value();
    }

    std::vector<wire::pull> asked()
    {
        const std::lock_guard guard(mutex_);
        return asked_;
    }

private:
    std::mutex mutex_;
    entry::table_history history_;
    std::vector<wire::pull> asked_;
};

class table_changes_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_changes_test);
    CPPUNIT_TEST(test_a_host_takes_what_changed);
    CPPUNIT_TEST(test_false_changes_are_followed_by_the_whole_table);
    CPPUNIT_TEST(test_a_host_tells_what_changed);
    CPPUNIT_TEST(test_a_host_of_an_earlier_release_gets_the_text);
    CPPUNIT_TEST_SUITE_END();

    static void await_version(testbed& tested, std::uint64_t version)
    {
        testbed::wait_until("the version", [&tested, version] {
            return tested.table_version() == version;
        });
    }

    void test_a_host_takes_what_changed()
    {
        ahead newer;
        testbed tested;
        tested.start_without_store();
        fake_neighbours others(
            1, tested.neighbours(), [&newer](const wire::pull& asked) {
                return newer.answer(asked);
            });
        others.announce_table_version(2);
        await_version(tested, 2);
        CPPUNIT_ASSERT_EQUAL(200U, tested.call("GET", "/plain/", "k2").status);
        const auto asked = newer.asked();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, asked.size());
        CPPUNIT_ASSERT(asked[0].base == delta::content_digest(table_text(1)));
    }

    void test_false_changes_are_followed_by_the_whole_table()
    {
        ahead newer;
        testbed tested;
        tested.start_without_store();
        fake_neighbours others(
            1, tested.neighbours(), [&newer](const wire::pull& asked) {
                wire::table_changes changes = newer.answer(asked);
                if (!changes.base.empty())
                    changes.steps[0].compressed[8] ^= 1;
                return changes;
            });
        others.announce_table_version(2);
        await_version(tested, 2);
        const auto asked = newer.asked();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, asked.size());
        CPPUNIT_ASSERT(asked[1].base.empty());
        CPPUNIT_ASSERT_EQUAL(200U, tested.call("GET", "/plain/", "k2").status);
    }

    static wire::message told(fake_neighbours& others, wire::pull question)
    {
        others.broadcast(question);
        testbed::wait_until(
            "a table", [&others] { return !others.table_messages().empty(); });
        return others.table_messages().front();
    }

    void test_a_host_tells_what_changed()
    {
        testbed tested;
        tested.start();
        tested.publish(2, "k2");
        await_version(tested, 2);
        fake_neighbours others(1, tested.neighbours(), [](const wire::pull&) {
            return std::nullopt;
        });
        entry::table_history behind;
        behind.set_full(1, table_text(1));
        const auto said = std::get<wire::table_changes>(
            told(others, wire::pull{2, behind.digest(), true}));
        CPPUNIT_ASSERT(
            said.steps.at(0).compressed.size() < most_bytes_a_small_change);
        CPPUNIT_ASSERT(behind.apply(said).value() == table_text(2, "k2"));
    }

    void test_a_host_of_an_earlier_release_gets_the_text()
    {
        testbed tested;
        tested.start();
        fake_neighbours others(1, tested.neighbours(), [](const wire::pull&) {
            return std::nullopt;
        });
        const auto said =
            std::get<wire::table_document>(told(others, wire::pull{1}));
        CPPUNIT_ASSERT(said.text == table_text(1));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_changes_test);

} // namespace
