// Guards against a fleet whose hosts request lists that they have, or all from
// the same host.

#include "samples.hpp"

#include <godwit/placement/server_list_comparison.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace {

using namespace godwit;
using namespace godwit::placement;
using namespace godwit::placement::test;
using core::host_name;

server_list_digest digest_of(int servers)
{
    server_list_digest digest;
    for (int number = 0; number < servers; ++number)
        digest.toggle(server_id("i-" + std::to_string(number)), {});
    return digest;
}

class server_list_comparison_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_list_comparison_test);
    CPPUNIT_TEST(test_equal_lists_are_not_requested);
    CPPUNIT_TEST(test_a_list_is_requested_from_one_neighbour_at_a_time);
    CPPUNIT_TEST(test_differences_are_requested_now_and_then);
    CPPUNIT_TEST(test_a_neighbour_without_link_does_not_count);
    CPPUNIT_TEST(test_only_the_last_fetch_is_completed);
    CPPUNIT_TEST(test_hosts_request_from_different_neighbours);
    CPPUNIT_TEST(test_the_digest_goes_to_one_neighbour_after_the_other);
    CPPUNIT_TEST_SUITE_END();

    const host_name a_{"a"};
    const host_name b_{"b"};
    const server_list_digest none_{};
    server_list_comparison comparison_{host_name("self")};

    void test_equal_lists_are_not_requested()
    {
        comparison_.record_digest(a_, digest_of(3));
        CPPUNIT_ASSERT(!comparison_.next_fetch(digest_of(3), true, at_ms(0)));
        // It is not a request that others would have to wait for.
        comparison_.record_digest(b_, digest_of(4));
        CPPUNIT_ASSERT(comparison_.next_fetch(digest_of(3), true, at_ms(0)));
    }

    void test_a_list_is_requested_from_one_neighbour_at_a_time()
    {
        comparison_.record_digest(a_, digest_of(300));
        comparison_.record_digest(b_, digest_of(300));
        const auto first = comparison_.next_fetch(none_, false, at_ms(0));
        CPPUNIT_ASSERT(first->buckets.count() > 50);
        CPPUNIT_ASSERT(!comparison_.next_fetch(none_, false, at_ms(1499)));
        const auto second = comparison_.next_fetch(none_, false, at_ms(1500));
        CPPUNIT_ASSERT(second->neighbour != first->neighbour);
        CPPUNIT_ASSERT(!comparison_.next_fetch(none_, false, at_ms(9000)));
    }

    void test_differences_are_requested_now_and_then()
    {
        comparison_.record_digest(a_, digest_of(4));
        const auto fetch = comparison_.next_fetch(digest_of(3), true, at_ms(0));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, fetch->buckets.count());
        comparison_.record_digest(b_, digest_of(5));
        CPPUNIT_ASSERT(
            !comparison_.next_fetch(digest_of(3), true, at_ms(4999)));
        // What was received meanwhile is outdated.
        CPPUNIT_ASSERT(
            !comparison_.next_fetch(digest_of(3), true, at_ms(5000)));
        comparison_.record_digest(b_, digest_of(5));
        CPPUNIT_ASSERT(comparison_.next_fetch(digest_of(3), true, at_ms(5000)));
    }

    void test_a_neighbour_without_link_does_not_count()
    {
        comparison_.record_digest(a_, digest_of(4));
        comparison_.record_digest(b_, digest_of(4));
        CPPUNIT_ASSERT(comparison_.next_fetch(none_, false, at_ms(0)));
        comparison_.cancel_fetch();
        CPPUNIT_ASSERT(comparison_.next_fetch(none_, false, at_ms(0)));
    }

    void test_only_the_last_fetch_is_completed()
    {
        CPPUNIT_ASSERT(!comparison_.complete(a_));
        comparison_.record_digest(a_, digest_of(4));
        CPPUNIT_ASSERT(comparison_.next_fetch(none_, false, at_ms(0)));
        CPPUNIT_ASSERT(!comparison_.complete(b_));
        CPPUNIT_ASSERT(comparison_.complete(a_));
        CPPUNIT_ASSERT(!comparison_.complete(a_));
    }

    void test_hosts_request_from_different_neighbours()
    {
        std::set<host_name> sources;
        for (int number = 0; number < 50; ++number) {
            server_list_comparison host(host_name(std::to_string(number)));
            host.record_digest(a_, digest_of(4));
            host.record_digest(b_, digest_of(4));
            sources.insert(host.next_fetch(none_, false, at_ms(0))->neighbour);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, sources.size());
    }

    void test_the_digest_goes_to_one_neighbour_after_the_other()
    {
        const std::set<host_name> neighbours{a_, b_};
        CPPUNIT_ASSERT(!comparison_.next_recipient({}, at_ms(0)));
        CPPUNIT_ASSERT(!comparison_.next_recipient(neighbours, at_ms(4999)));
        CPPUNIT_ASSERT(
            comparison_.next_recipient(neighbours, at_ms(5000)) == a_);
        CPPUNIT_ASSERT(
            comparison_.next_recipient(neighbours, at_ms(10'000)) == b_);
        CPPUNIT_ASSERT(
            comparison_.next_recipient(neighbours, at_ms(15'000)) == a_);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_list_comparison_test);

} // namespace
