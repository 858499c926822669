#include "samples.hpp"

#include <godwit/core/random.hpp>
#include <godwit/placement/server_directory.hpp>

#include <cppunit/extensions/HelperMacros.h>

namespace {

using namespace godwit::placement;
using namespace godwit::placement::test;
using godwit::core::service_name;

class server_directory_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_directory_test);
    CPPUNIT_TEST(test_a_draining_server_stays_known);
    CPPUNIT_TEST(test_an_older_record_does_not_restore_a_server);
    CPPUNIT_TEST(test_an_older_draining_record_is_ignored);
    CPPUNIT_TEST(test_a_removed_record_means_draining);
    CPPUNIT_TEST(test_an_expired_record_has_a_grace_period);
    CPPUNIT_TEST(test_a_server_that_registers_again_stays);
    CPPUNIT_TEST(test_a_new_server_replaces_the_one_at_its_address);
    CPPUNIT_TEST(test_departed_servers_are_forgotten);
    CPPUNIT_TEST(test_a_run_may_go_on_where_it_is_for_a_moment);
    CPPUNIT_TEST(test_servers_of_the_initial_list_did_not_join);
    CPPUNIT_TEST(test_a_restarted_server_replaces_its_former_incarnation);
    CPPUNIT_TEST(test_a_server_may_restart_while_it_drains);
    CPPUNIT_TEST(test_records_of_a_former_incarnation_are_ignored);
    CPPUNIT_TEST(test_the_revision_orders_records_of_one_incarnation);
    CPPUNIT_TEST(test_a_start_time_that_becomes_known_is_no_restart);
    CPPUNIT_TEST(test_a_restarted_server_that_drains_is_not_usable);
    CPPUNIT_TEST(test_a_restart_ends_the_grace_period);
    CPPUNIT_TEST(test_a_record_of_another_service_evicts_no_server);
    CPPUNIT_TEST(test_a_former_incarnation_announces_nothing);
    CPPUNIT_TEST(test_an_announcement_holds_until_a_restart);
    CPPUNIT_TEST(test_an_announcement_outlasts_other_departures);
    CPPUNIT_TEST_SUITE_END();

    server_directory directory_;

    void test_a_draining_server_stays_known()
    {
        CPPUNIT_ASSERT(
            directory_.update(sample_server(1), at_ms(0)) ==
            directory_change::appeared);
        CPPUNIT_ASSERT(
            directory_.update(draining(sample_server(1)), at_ms(10)) ==
            directory_change::left);
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(directory_.find(server_id("i-1")) != nullptr);
        CPPUNIT_ASSERT(directory_.usable(service_name("lm")).empty());
        CPPUNIT_ASSERT(
            directory_.update(draining(sample_server(1)), at_ms(20)) ==
            directory_change::none);
    }

    void test_an_older_record_does_not_restore_a_server()
    {
        directory_.update(sample_server(1, "east", 5), at_ms(0));
        directory_.update(draining(sample_server(1, "east", 5)), at_ms(10));
        CPPUNIT_ASSERT(
            directory_.update(sample_server(1, "east", 5), at_ms(20)) ==
            directory_change::none);
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
    }

    // A server whose record expired and was restored is draining with an older
    // revision at slower hosts. If their record were applied, and then the
    // newer one again, the hosts would send each other updates forever.
    void test_an_older_draining_record_is_ignored()
    {
        directory_.update(sample_server(1, "east", 7), at_ms(0));
        auto older = sample_server(1, "east", 6);
        older.state = server_state::draining;
        CPPUNIT_ASSERT(
            directory_.update(older, at_ms(10)) == directory_change::none);
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
        // At the same revision, draining is the later state.
        older.revision = 7;
        CPPUNIT_ASSERT(
            directory_.update(older, at_ms(20)) == directory_change::left);
        CPPUNIT_ASSERT(
            directory_.update(sample_server(1, "east", 7), at_ms(30)) ==
            directory_change::none);
    }

    void test_a_removed_record_means_draining()
    {
        directory_.update(sample_server(1), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.remove(
                server_id("i-1"), source_state::steady, at_ms(5)) ==
            directory_change::left);
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
    }

    void test_an_expired_record_has_a_grace_period()
    {
        directory_.update(sample_server(1), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.remove(
                server_id("i-1"), source_state::recovering, at_ms(100)) ==
            directory_change::none);
        CPPUNIT_ASSERT(directory_.expire(at_ms(2099)).empty());
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT_EQUAL(
            std::size_t{1}, directory_.expire(at_ms(2100)).size());
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
    }

    void test_a_server_that_registers_again_stays()
    {
        directory_.update(sample_server(1, "east", 1), at_ms(0));
        directory_.remove(
            server_id("i-1"), source_state::recovering, at_ms(100));
        directory_.update(sample_server(1, "east", 2), at_ms(1500));
        CPPUNIT_ASSERT(directory_.expire(at_ms(5000)).empty());
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
    }

    void test_a_new_server_replaces_the_one_at_its_address()
    {
        directory_.update(sample_server(1), at_ms(0));
        auto next = sample_server(2);
        next.address = sample_server(1).address;
        directory_.update(next, at_ms(10));
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-2")));
    }

    // A run whose KV cache is at a leaving server reached it at any later time.
    void test_a_run_may_go_on_where_it_is_for_a_moment()
    {
        const auto server = sample_server(1);
        CPPUNIT_ASSERT(!directory_.may_resume_at(server, at_ms(0)));
        directory_.update(server, at_ms(0));
        CPPUNIT_ASSERT(directory_.may_resume_at(server, at_ms(60000)));
        directory_.update(draining(server), at_ms(60000));
        CPPUNIT_ASSERT(directory_.may_resume_at(server, at_ms(60999)));
        CPPUNIT_ASSERT(!directory_.may_resume_at(server, at_ms(61000)));
        auto restarted = server;
        restarted.start = server_start{1};
        directory_.update(restarted, at_ms(62000));
        CPPUNIT_ASSERT(!directory_.may_resume_at(server, at_ms(62000)));
        CPPUNIT_ASSERT(directory_.may_resume_at(restarted, at_ms(62000)));
    }

    void test_departed_servers_are_forgotten()
    {
        directory_.update(sample_server(1), at_ms(0));
        directory_.update(draining(sample_server(1)), at_ms(0));
        CPPUNIT_ASSERT(directory_.expire(at_ms(59999)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, directory_.size());
        CPPUNIT_ASSERT(directory_.expire(at_ms(60000)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory_.size());
    }

    void test_servers_of_the_initial_list_did_not_join()
    {
        directory_.update(sample_server(1), at_ms(0));
        directory_.update(sample_server(2), at_ms(1000));
        directory_.update(sample_server(3), at_ms(1001));
        CPPUNIT_ASSERT(!directory_.joined_at(server_id("i-1")));
        CPPUNIT_ASSERT(!directory_.joined_at(server_id("i-2")));
        CPPUNIT_ASSERT(directory_.joined_at(server_id("i-3")) == at_ms(1001));
        // A newer record is not another server.
        directory_.update(sample_server(3, "east", 2), at_ms(5000));
        CPPUNIT_ASSERT(directory_.joined_at(server_id("i-3")) == at_ms(1001));
    }

    static backend_server
    with_start(std::uint64_t start_ms, std::uint64_t revision)
    {
        auto server = sample_server(1, "east", revision);
        server.start = server_start{start_ms};
        return server;
    }

    void test_a_restarted_server_replaces_its_former_incarnation()
    {
        directory_.update(with_start(1000, 50), at_ms(0));
        auto next = with_start(2000, 0);
        next.address = sample_server(7).address;
        CPPUNIT_ASSERT(
            directory_.update(next, at_ms(10)) == directory_change::restarted);
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(*directory_.find(server_id("i-1")) == next);
        CPPUNIT_ASSERT(directory_.joined_at(server_id("i-1")) == at_ms(10));
        CPPUNIT_ASSERT(
            directory_.update(next, at_ms(20)) == directory_change::none);
    }

    void test_a_server_may_restart_while_it_drains()
    {
        directory_.update(with_start(1000, 50), at_ms(0));
        directory_.update(draining(with_start(1000, 50)), at_ms(5));
        CPPUNIT_ASSERT(
            directory_.update(with_start(2000, 1), at_ms(10)) ==
            directory_change::restarted);
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(!directory_.left_at(server_id("i-1")));
    }

    void test_records_of_a_former_incarnation_are_ignored()
    {
        directory_.update(with_start(2000, 1), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.update(with_start(1000, 90), at_ms(10)) ==
            directory_change::none);
        CPPUNIT_ASSERT(
            directory_.update(draining(with_start(1000, 90)), at_ms(20)) ==
            directory_change::none);
        // From a source that does not know start times.
        CPPUNIT_ASSERT(
            directory_.update(draining(with_start(0, 90)), at_ms(30)) ==
            directory_change::none);
        CPPUNIT_ASSERT(
            *directory_.find(server_id("i-1")) == with_start(2000, 1));
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
    }

    void test_the_revision_orders_records_of_one_incarnation()
    {
        directory_.update(with_start(2000, 5), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.update(draining(with_start(2000, 3)), at_ms(10)) ==
            directory_change::none);
        CPPUNIT_ASSERT(
            directory_.update(draining(with_start(2000, 5)), at_ms(20)) ==
            directory_change::left);
        CPPUNIT_ASSERT(
            directory_.update(with_start(2000, 7), at_ms(30)) ==
            directory_change::appeared);
    }

    void test_a_start_time_that_becomes_known_is_no_restart()
    {
        directory_.update(with_start(0, 50), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.update(with_start(1000, 50), at_ms(10)) ==
            directory_change::none);
        CPPUNIT_ASSERT(
            *directory_.find(server_id("i-1")) == with_start(1000, 50));
        CPPUNIT_ASSERT(
            directory_.update(with_start(2000, 1), at_ms(20)) ==
            directory_change::restarted);
    }

    void test_a_restarted_server_that_drains_is_not_usable()
    {
        directory_.update(with_start(1000, 50), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.update(draining(with_start(2000, 1)), at_ms(10)) ==
            directory_change::restarted);
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(directory_.left_at(server_id("i-1")) == at_ms(10));
    }

    void test_a_restart_ends_the_grace_period()
    {
        directory_.update(with_start(1000, 50), at_ms(0));
        directory_.remove(
            server_id("i-1"), source_state::recovering, at_ms(100));
        directory_.update(with_start(2000, 0), at_ms(1500));
        CPPUNIT_ASSERT(directory_.expire(at_ms(5000)).empty());
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
    }

    // A record written by someone else may have any address.
    void test_a_record_of_another_service_evicts_no_server()
    {
        directory_.update(sample_server(1), at_ms(0));
        auto other = sample_server(2);
        other.address = sample_server(1).address;
        other.service = service_name("unknown");
        directory_.update(other, at_ms(10));
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
    }

    void test_a_former_incarnation_announces_nothing()
    {
        directory_.update(with_start(2000, 1), at_ms(0));
        CPPUNIT_ASSERT(
            directory_.announce_leaving(
                server_id("i-1"), server_start{1000}, at_ms(1)) ==
            directory_change::none);
        CPPUNIT_ASSERT(directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(
            directory_.announce_leaving(
                server_id("i-2"), server_start{2000}, at_ms(1)) ==
            directory_change::none);
    }

    // Applies records, removals and expiries in random orders.
    void test_an_announcement_holds_until_a_restart()
    {
        constexpr std::uint64_t runs = 200;
        constexpr int steps = 60;
        const server_id id("i-1");
        for (std::uint64_t seed = 1; seed <= runs; ++seed) {
            godwit::core::random random(seed);
            server_directory directory;
            std::uint64_t start_ms = 1000;
            directory.update(with_start(start_ms, 1), at_ms(0));
            bool has_announced = false;
            for (int step = 1; step <= steps; ++step) {
                const auto now = at_ms(step * 100);
                const auto revision = static_cast<std::uint64_t>(step) + 1;
                const double choice = random.unit();
                if (choice < 0.1) {
                    directory.announce_leaving(id, server_start{start_ms}, now);
                    has_announced = true;
                } else if (choice < 0.15) {
                    start_ms += 1000;
                    directory.update(with_start(start_ms, 1), now);
                    has_announced = false;
                } else if (choice < 0.5) {
                    directory.update(with_start(start_ms, revision), now);
                } else if (choice < 0.6) {
                    directory.update(
                        draining(with_start(start_ms, revision)), now);
                } else if (choice < 0.7) {
                    directory.remove(id, source_state::steady, now);
                } else if (choice < 0.8) {
                    directory.remove(id, source_state::recovering, now);
                } else {
                    directory.confirm(id);
                    (void)directory.expire(now);
                }
                CPPUNIT_ASSERT(!has_announced || !directory.is_usable(id));
            }
        }
    }

    void test_an_announcement_outlasts_other_departures()
    {
        directory_.update(with_start(1000, 1), at_ms(0));
        directory_.announce_leaving(
            server_id("i-1"), server_start{1000}, at_ms(0));
        CPPUNIT_ASSERT(directory_.expire(at_ms(60'000)).empty());
        directory_.update(with_start(1000, 9), at_ms(60'000));
        CPPUNIT_ASSERT(!directory_.is_usable(server_id("i-1")));
        CPPUNIT_ASSERT(directory_.expire(at_ms(600'000)).empty());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, directory_.size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_directory_test);

} // namespace
