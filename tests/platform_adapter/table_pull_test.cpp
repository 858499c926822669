// Guards against hosts pulling a route table from all neighbours at once. Hosts
// that did not have a version 250 ms after its announcement pulled the full
// table from each neighbour. 388 KB take longer than that over a link of 10
// Mbit/s, so every host pulled, the responses filled all links, and no newer
// version got through: after five versions of 1,940 routes within eight
// seconds, callers got 404 for routes acknowledged four seconds earlier. In 26
// s of such a burst, 83 hosts logged table_asked 7,169 times, table_sent 7,062
// times and table_known 5,783 times: four of five tables were already known
// when they arrived.

#include "fake_neighbours.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace {

using namespace godwit;
using platform_adapter::test::fake_neighbours;
using platform_adapter::test::testbed;

constexpr std::size_t neighbours = 8;

class table_pull_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(table_pull_test);
    CPPUNIT_TEST(test_one_neighbour_sends_the_table);
    CPPUNIT_TEST(test_another_neighbour_is_asked_when_one_does_not_respond);
    CPPUNIT_TEST(test_a_request_waits_for_an_announced_version);
    CPPUNIT_TEST(test_a_host_without_the_announced_version_denies_no_caller);
    CPPUNIT_TEST(test_a_caller_with_little_time_does_not_wait_for_a_version);
    CPPUNIT_TEST_SUITE_END();

    static std::optional<wire::message> full_table(const wire::pull& pull)
    {
        return wire::table_document{
            pull.next_offset,
            platform_adapter::test::table_text(
                static_cast<unsigned>(pull.next_offset))};
    }

    void test_one_neighbour_sends_the_table()
    {
        testbed tested;
        tested.start_without_store();
        fake_neighbours others(neighbours, tested.neighbours(), &full_table);
        others.announce_table_version(2);
        testbed::wait_until(
            "version 2", [&tested] { return tested.table_version() == 2; });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, others.pull_receivers().size());
    }

    void test_another_neighbour_is_asked_when_one_does_not_respond()
    {
        testbed tested;
        tested.start_without_store();
        fake_neighbours others(
            neighbours, tested.neighbours(), [](const wire::pull&) {
                return std::nullopt;
            });
        others.announce_table_version(2);
        testbed::wait_until(
            "a pull", [&others] { return !others.pull_receivers().empty(); });
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, others.pull_receivers().size());
        testbed::wait_until("another pull", [&others] {
            return others.pull_receivers().size() > 1;
        });
        const auto receivers = others.pull_receivers();
        CPPUNIT_ASSERT(receivers[0] != receivers[1]);
    }

    static http::response
    call_after_announcement(fake_neighbours::pull_handler handler)
    {
        testbed tested;
        tested.start_without_store();
        fake_neighbours others(
            neighbours, tested.neighbours(), std::move(handler));
        others.announce_table_version(2);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        return tested.call("POST", "/plain/", "k2");
    }

    void test_a_request_waits_for_an_announced_version()
    {
        const auto response =
            call_after_announcement([](const wire::pull& pull) {
                return wire::table_document{
                    pull.next_offset,
                    platform_adapter::test::table_text(2, "k2")};
            });
        CPPUNIT_ASSERT_EQUAL(200U, response.status);
    }

    void test_a_host_without_the_announced_version_denies_no_caller()
    {
        const auto response = call_after_announcement(
            [](const wire::pull&) { return std::nullopt; });
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
        CPPUNIT_ASSERT(response.fields.find("Retry-After"));
    }

    // The caller of a request that waits for longer than its own deadline gets
    // no response at all.
    void test_a_caller_with_little_time_does_not_wait_for_a_version()
    {
        constexpr std::chrono::milliseconds deadline{400};
        testbed tested;
        tested.start_without_store();
        fake_neighbours others(
            neighbours, tested.neighbours(), [](const wire::pull&) {
                return std::nullopt;
            });
        others.announce_table_version(2);
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        tested.set_deadline(deadline);
        const auto sent_at = std::chrono::steady_clock::now();
        const auto response = tested.call("POST", "/plain/", "k2");
        CPPUNIT_ASSERT_EQUAL(503U, response.status);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - sent_at < deadline);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_pull_test);

} // namespace
