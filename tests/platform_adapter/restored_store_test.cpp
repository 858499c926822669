// A store that restarts from an older copy of its records loses what came since
// and gives its offsets out again.

#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using platform_adapter::test::testbed;

class restored_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(restored_store_test);
    CPPUNIT_TEST(test_a_version_at_a_reused_offset_comes_into_force);
    CPPUNIT_TEST(test_a_shorter_log_is_noticed_without_an_era);
    CPPUNIT_TEST(test_two_restores_within_a_second);
    CPPUNIT_TEST(
        test_an_accepted_version_stays_while_the_store_has_an_older_one);
    CPPUNIT_TEST(test_an_open_read_of_another_topic_is_abandoned);
    CPPUNIT_TEST(test_a_living_server_that_the_copy_lacks_stays_in_use);
    CPPUNIT_TEST(test_a_server_that_is_not_listed_again_is_gone);
    CPPUNIT_TEST(test_a_server_that_left_is_not_used_again);
    CPPUNIT_TEST(test_an_entry_that_is_written_again_unchanged_counts);
    CPPUNIT_TEST(test_a_hosts_own_record_is_written_again);
    CPPUNIT_TEST(test_hosts_that_the_copy_lacks_stay_known);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;

    void wait_for_version(unsigned version)
    {
        testbed::wait_until("the version", [this, version] {
            return testbed_.table_version() == version;
        });
    }

    // As many versions are written anew as were lost, so no read's offset is
    // beyond the end.
    void test_a_version_at_a_reused_offset_comes_into_force()
    {
        testbed_.start();
        testbed_.store().back_up();
        for (const unsigned version : {2U, 4U, 5U}) {
            testbed_.publish(version);
            wait_for_version(version);
        }
        testbed_.store().restore(
            {testbed_.table_record(5),
             testbed_.table_record(7),
             testbed_.table_record(8, "k2")});
        wait_for_version(8);
        CPPUNIT_ASSERT_EQUAL(
            200U, testbed_.call("POST", "/plain/", "k2").status);
    }

    // One topic's shorter log shows it; the other's has the length it had.
    void test_a_shorter_log_is_noticed_without_an_era()
    {
        testbed_.store().set_epoch(std::nullopt);
        begin_registered();
        testbed_.store().back_up();
        testbed_.publish(2);
        wait_for_version(2);
        testbed_.store().put("keyed.hosts", "h8", "127.0.0.1:8/east");
        wait_for_fleet(2);
        testbed_.store().restore({host("h9"), host("h8")});
        wait_for_fleet(3);
    }

    void test_two_restores_within_a_second()
    {
        testbed_.start();
        testbed_.store().back_up();
        testbed_.publish(2);
        wait_for_version(2);
        testbed_.store().restore({testbed_.table_record(3)});
        testbed_.store().restore({testbed_.table_record(5)});
        wait_for_version(5);
    }

    void test_an_accepted_version_stays_while_the_store_has_an_older_one()
    {
        testbed_.start();
        testbed_.store().back_up();
        testbed_.publish(2, "k2");
        wait_for_version(2);
        const unsigned calls = testbed_.store().calls();
        testbed_.store().restore();
        wait_for_reading_anew(calls);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, testbed_.table_version());
        CPPUNIT_ASSERT_EQUAL(
            200U, testbed_.call("POST", "/plain/", "k2").status);
    }

    // A read of the hosts is held open for half a minute; the era that another
    // topic's answer names ends it.
    void test_an_open_read_of_another_topic_is_abandoned()
    {
        begin_registered();
        testbed_.store().back_up();
        testbed_.store().put("keyed.hosts", "h8", "127.0.0.1:8/east");
        wait_for_fleet(2);
        testbed_.store().restore({host("h9"), host("h8")});
        wait_for_fleet(3);
    }

    static platform_adapter::test::fake_store::rewritten_record
    host(const std::string& name)
    {
        return {"keyed.hosts", name, "127.0.0.1:9/east"};
    }

    void begin_registered()
    {
        testbed_.start();
        testbed::wait_until("registration", [this] {
            return testbed_.store().find("keyed.hosts", "h1").has_value();
        });
    }

    bool is_usable(const std::string& id)
    {
        return testbed_.run_on_host<bool>([&id](auto& process) {
            return process.context().directory.is_usable(
                placement::server_id(id));
        });
    }

    /// Looks for as long as a server may take to list itself again, with some
    /// time beyond it.
    bool stays_usable(const std::string& id)
    {
        for (int count = 0; count < 150; ++count) {
            if (!is_usable(id))
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return true;
    }

    void begin_with_second_lost()
    {
        testbed_.start_with_first_server();
        testbed_.store().back_up();
        testbed_.register_server(testbed_.second_server(), "ready");
    }

    platform_adapter::test::fake_store::rewritten_record second_entry()
    {
        const auto found = testbed_.store().find("keyed.servers", "i-2");
        return {"keyed.servers", "i-2", found.value().second};
    }

    void wait_for_reading_anew(unsigned calls)
    {
        testbed::wait_until("reads", [this, calls] {
            return testbed_.store().calls() >= calls + 6;
        });
    }

    void test_a_living_server_that_the_copy_lacks_stays_in_use()
    {
        begin_with_second_lost();
        const auto entry = second_entry();
        const unsigned calls = testbed_.store().calls();
        testbed_.store().restore();
        wait_for_reading_anew(calls);
        CPPUNIT_ASSERT(is_usable("i-2"));
        testbed_.store().put(entry.topic, entry.key, entry.value);
        CPPUNIT_ASSERT(stays_usable("i-2"));
    }

    void test_a_server_that_is_not_listed_again_is_gone()
    {
        begin_with_second_lost();
        testbed_.store().restore();
        testbed::wait_until(
            "the server's end", [this] { return !is_usable("i-2"); });
        CPPUNIT_ASSERT(is_usable("i-1"));
    }

    void test_a_server_that_left_is_not_used_again()
    {
        testbed_.start();
        testbed_.store().back_up();
        testbed_.register_server(testbed_.second_server(), "draining");
        const unsigned calls = testbed_.store().calls();
        // The copy shows it ready.
        testbed_.store().restore();
        wait_for_reading_anew(calls);
        CPPUNIT_ASSERT(!is_usable("i-2"));
        CPPUNIT_ASSERT(is_usable("i-1"));
    }

    // The first reading of the copy finds it missing, the second one lists it
    // as it was known.
    void test_an_entry_that_is_written_again_unchanged_counts()
    {
        begin_with_second_lost();
        const auto entry = second_entry();
        const unsigned calls = testbed_.store().calls();
        testbed_.store().restore();
        wait_for_reading_anew(calls);
        testbed_.store().restore({entry});
        CPPUNIT_ASSERT(stays_usable("i-2"));
    }

    void test_a_hosts_own_record_is_written_again()
    {
        begin_registered();
        testbed_.store().put("keyed.hosts", "h1", std::nullopt);
        testbed_.store().back_up();
        testbed_.store().restore();
        testbed::wait_until("the record", [this] {
            return testbed_.store().has("keyed.hosts", "h1");
        });
    }

    void test_hosts_that_the_copy_lacks_stay_known()
    {
        begin_registered();
        testbed_.store().back_up();
        testbed_.store().put("keyed.hosts", "h8", "127.0.0.1:8/east");
        wait_for_fleet(2);
        const unsigned calls = testbed_.store().calls();
        testbed_.store().restore();
        wait_for_reading_anew(calls);
        wait_for_fleet(2);
    }

    void wait_for_fleet(std::size_t size)
    {
        testbed::wait_until("the fleet", [this, size] {
            return testbed_.run_on_host<std::size_t>([](auto& process) {
                return process.fleet_size();
            }) == size;
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restored_store_test);

} // namespace
