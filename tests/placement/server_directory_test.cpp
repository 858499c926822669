#include "samples.hpp"

#include <godwit/placement/server_directory.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit::placement;
using namespace godwit::placement::test;
using godwit::core::service_name;

class server_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_directory_test);
    CPPUNIT_TEST(test_a_server_that_leaves_stays_known);
    CPPUNIT_TEST(test_an_older_view_does_not_bring_a_server_back);
    CPPUNIT_TEST(test_an_older_word_of_leaving_changes_nothing);
    CPPUNIT_TEST(test_a_dropped_entry_means_leaving);
    CPPUNIT_TEST(test_a_lapsed_entry_has_two_seconds);
    CPPUNIT_TEST(test_a_server_that_lists_itself_again_stays);
    CPPUNIT_TEST(test_a_new_server_replaces_the_one_at_its_address);
    CPPUNIT_TEST(test_servers_that_left_are_forgotten);
    CPPUNIT_TEST(test_servers_of_the_first_view_did_not_join);
    CPPUNIT_TEST(test_a_new_life_replaces_the_former_one);
    CPPUNIT_TEST(test_a_new_life_may_begin_while_the_former_one_leaves);
    CPPUNIT_TEST(test_a_word_of_a_former_life_changes_nothing);
    CPPUNIT_TEST(test_within_one_life_the_revision_decides);
    CPPUNIT_TEST(test_a_start_that_becomes_known_is_no_new_life);
    CPPUNIT_TEST(test_a_new_life_that_leaves_is_not_used);
    CPPUNIT_TEST(test_a_new_life_does_not_lapse_with_the_former_one);
    CPPUNIT_TEST(test_an_entry_of_another_service_takes_no_address);
    CPPUNIT_TEST_SUITE_END();

    server_directory directory_;

    void test_a_server_that_leaves_stays_known()
    {
        CPPUNIT_ASSERT(
            directory_.listed(sample_server(1), at_ms(0)) ==
            directory_change::appeared);
        CPPUNIT_ASSERT(
            directory_.listed(leaving(sample_server(1)), at_ms(10)) ==
            directory_change::left);
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(directory_.find(server_id("i-1")) != nullptr);
        CPPUNIT_ASSERT(directory_.usable(service_name("lm")).empty());
        CPPUNIT_ASSERT(
            directory_.listed(leaving(sample_server(1)), at_ms(20)) ==
            directory_change::none);
    }

    void test_an_older_view_does_not_bring_a_server_back()
    {
        directory_.listed(sample_server(1, "east", 5), at_ms(0));
        directory_.listed(leaving(sample_server(1, "east", 5)), at_ms(10));
        CPPUNIT_ASSERT(
            directory_.listed(sample_server(1, "east", 5), at_ms(20)) ==
            directory_change::none);
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
    }

    // An entry that lapsed and came back is "leaving" with an older revision
    // at hosts that were slower. If their word counted, and the newer one
    // then again, the hosts would tell each other for ever.
    void test_an_older_word_of_leaving_changes_nothing()
    {
        directory_.listed(sample_server(1, "east", 7), at_ms(0));
        auto older = sample_server(1, "east", 6);
        older.state = server_state::draining;
        CPPUNIT_ASSERT(
            directory_.listed(older, at_ms(10)) == directory_change::none);
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
        // Of the same age, leaving is the later of the two.
        older.revision = 7;
        CPPUNIT_ASSERT(
            directory_.listed(older, at_ms(20)) == directory_change::left);
        CPPUNIT_ASSERT(
            directory_.listed(sample_server(1, "east", 7), at_ms(30)) ==
            directory_change::none);
    }

    void test_a_dropped_entry_means_leaving()
    {
        directory_.listed(sample_server(1), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.delisted(
                server_id("i-1"), source_state::steady, at_ms(5)) ==
            directory_change::left);
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
    }

    void test_a_lapsed_entry_has_two_seconds()
    {
        directory_.listed(sample_server(1), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.delisted(
                server_id("i-1"), source_state::recovering, at_ms(100)) ==
            directory_change::none);
        CPPUNIT_ASSERT(directory_.expire(at_ms(2099)).empty());
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, directory_.expire(at_ms(2100)).size());
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
    }

    void test_a_server_that_lists_itself_again_stays()
    {
        directory_.listed(sample_server(1, "east", 1), at_ms(0));
        directory_.delisted(
            server_id("i-1"), source_state::recovering, at_ms(100));
        directory_.listed(sample_server(1, "east", 2), at_ms(1500));
        CPPUNIT_ASSERT(directory_.expire(at_ms(5000)).empty());
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
    }

    void test_a_new_server_replaces_the_one_at_its_address()
    {
        directory_.listed(sample_server(1), at_ms(0));
        auto next = sample_server(2);
        next.address = sample_server(1).address;
        directory_.listed(next, at_ms(10));
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-2")));
    }

    void test_servers_that_left_are_forgotten()
    {
        directory_.listed(sample_server(1), at_ms(0));
        directory_.listed(leaving(sample_server(1)), at_ms(0));
        CPPUNIT_ASSERT(directory_.expire(at_ms(59999)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory_.size());
        CPPUNIT_ASSERT(directory_.expire(at_ms(60000)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory_.size());
    }

    void test_servers_of_the_first_view_did_not_join()
    {
        directory_.listed(sample_server(1), at_ms(0));
        directory_.listed(sample_server(2), at_ms(1000));
        directory_.listed(sample_server(3), at_ms(1001));
        CPPUNIT_ASSERT(!directory_.joined_at(server_id("i-1")));
        CPPUNIT_ASSERT(!directory_.joined_at(server_id("i-2")));
        CPPUNIT_ASSERT(directory_.joined_at(server_id("i-3")) == at_ms(1001));
        // A newer view of it is no other server.
        directory_.listed(sample_server(3, "east", 2), at_ms(5000));
        CPPUNIT_ASSERT(directory_.joined_at(server_id("i-3")) == at_ms(1001));
    }

    static backend_server
    of_life(std::uint64_t start_ms, std::uint64_t revision)
    {
        auto server = sample_server(1, "east", revision);
        server.start = server_start{start_ms};
        return server;
    }

    void test_a_new_life_replaces_the_former_one()
    {
        directory_.listed(of_life(1000, 50), at_ms(0));
        auto next = of_life(2000, 0);
        next.address = sample_server(7).address;
        CPPUNIT_ASSERT(
            directory_.listed(next, at_ms(10)) == directory_change::restarted);
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(*directory_.find(server_id("i-1")) == next);
        CPPUNIT_ASSERT(directory_.joined_at(server_id("i-1")) == at_ms(10));
        CPPUNIT_ASSERT(
            directory_.listed(next, at_ms(20)) == directory_change::none);
    }

    void test_a_new_life_may_begin_while_the_former_one_leaves()
    {
        directory_.listed(of_life(1000, 50), at_ms(0));
        directory_.listed(leaving(of_life(1000, 50)), at_ms(5));
        CPPUNIT_ASSERT(
            directory_.listed(of_life(2000, 1), at_ms(10)) ==
            directory_change::restarted);
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(!directory_.left_at(server_id("i-1")));
    }

    void test_a_word_of_a_former_life_changes_nothing()
    {
        directory_.listed(of_life(2000, 1), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.listed(of_life(1000, 90), at_ms(10)) ==
            directory_change::none);
        CPPUNIT_ASSERT(
            directory_.listed(leaving(of_life(1000, 90)), at_ms(20)) ==
            directory_change::none);
        // Of a source that cannot tell lives apart.
        CPPUNIT_ASSERT(
            directory_.listed(leaving(of_life(0, 90)), at_ms(30)) ==
            directory_change::none);
        CPPUNIT_ASSERT(*directory_.find(server_id("i-1")) == of_life(2000, 1));
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
    }

    void test_within_one_life_the_revision_decides()
    {
        directory_.listed(of_life(2000, 5), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.listed(leaving(of_life(2000, 3)), at_ms(10)) ==
            directory_change::none);
        CPPUNIT_ASSERT(
            directory_.listed(leaving(of_life(2000, 5)), at_ms(20)) ==
            directory_change::left);
        CPPUNIT_ASSERT(
            directory_.listed(of_life(2000, 7), at_ms(30)) ==
            directory_change::appeared);
    }

    void test_a_start_that_becomes_known_is_no_new_life()
    {
        directory_.listed(of_life(0, 50), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.listed(of_life(1000, 50), at_ms(10)) ==
            directory_change::none);
        CPPUNIT_ASSERT(*directory_.find(server_id("i-1")) == of_life(1000, 50));
        CPPUNIT_ASSERT(
            directory_.listed(of_life(2000, 1), at_ms(20)) ==
            directory_change::restarted);
    }

    void test_a_new_life_that_leaves_is_not_used()
    {
        directory_.listed(of_life(1000, 50), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.listed(leaving(of_life(2000, 1)), at_ms(10)) ==
            directory_change::restarted);
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(directory_.left_at(server_id("i-1")) == at_ms(10));
    }

    void test_a_new_life_does_not_lapse_with_the_former_one()
    {
        directory_.listed(of_life(1000, 50), at_ms(0));
        directory_.delisted(
            server_id("i-1"), source_state::recovering, at_ms(100));
        directory_.listed(of_life(2000, 0), at_ms(1500));
        CPPUNIT_ASSERT(directory_.expire(at_ms(5000)).empty());
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
    }

    // A foreign entry may name any address.
    void test_an_entry_of_another_service_takes_no_address()
    {
        directory_.listed(sample_server(1), at_ms(0));
        auto other = sample_server(2);
        other.address = sample_server(1).address;
        other.service = service_name("unknown");
        directory_.listed(other, at_ms(10));
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_directory_test);

} // namespace
