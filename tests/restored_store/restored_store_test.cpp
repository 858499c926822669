// Guards against missed records after the store restarts from an older copy: it
// loses all later records and reuses their offsets.

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
    CPPUNIT_TEST(test_a_version_at_a_reused_offset_is_applied);
    CPPUNIT_TEST(test_a_shorter_log_reveals_a_restore_without_epochs);
    CPPUNIT_TEST(test_two_restores_within_a_second);
    CPPUNIT_TEST(
        test_a_version_is_kept_when_the_restored_store_has_an_older_one);
    CPPUNIT_TEST(test_an_open_read_of_another_topic_is_cancelled);
    CPPUNIT_TEST(test_a_running_server_missing_in_the_backup_stays_usable);
    CPPUNIT_TEST(test_a_server_that_does_not_register_again_is_removed);
    CPPUNIT_TEST(test_a_restored_record_does_not_revive_a_draining_server);
    CPPUNIT_TEST(test_an_unchanged_rewritten_record_counts);
    CPPUNIT_TEST(test_a_host_rewrites_its_missing_record);
    CPPUNIT_TEST(test_hosts_missing_in_the_backup_stay_known);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;

    void wait_for_version(unsigned version)
    {
        testbed::wait_until("the version", [this, version] {
            return testbed_.table_version() == version;
        });
    }

    // As many versions are written as were lost, so that no read's offset is
    // beyond the end.
    void test_a_version_at_a_reused_offset_is_applied()
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

    // One topic's shorter log reveals the restore; the other log is as long as
    // before.
    void test_a_shorter_log_reveals_a_restore_without_epochs()
    {
        testbed_.store().set_epoch(std::nullopt);
        start_registered();
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

    void test_a_version_is_kept_when_the_restored_store_has_an_older_one()
    {
        testbed_.start();
        testbed_.store().back_up();
        testbed_.publish(2, "k2");
        wait_for_version(2);
        const unsigned calls = testbed_.store().calls();
        testbed_.store().restore();
        wait_for_resync(calls);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, testbed_.table_version());
        CPPUNIT_ASSERT_EQUAL(
            200U, testbed_.call("POST", "/plain/", "k2").status);
    }

    // A read of the hosts topic is held open for half a minute; the epoch in
    // the response of another topic ends it.
    void test_an_open_read_of_another_topic_is_cancelled()
    {
        start_registered();
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

    void start_registered()
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

    /// Checks for somewhat longer than a server may take to register again.
    bool stays_usable(const std::string& id)
    {
        for (int count = 0; count < 150; ++count) {
            if (!is_usable(id))
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return true;
    }

    void start_with_second_server_not_backed_up()
    {
        testbed_.start_with_first_server();
        testbed_.store().back_up();
        testbed_.register_server(testbed_.second_server(), "ready");
    }

    platform_adapter::test::fake_store::rewritten_record second_server_record()
    {
        const auto found = testbed_.store().find("keyed.servers", "i-2");
        return {"keyed.servers", "i-2", found.value().second};
    }

    void wait_for_resync(unsigned calls)
    {
        testbed::wait_until("reads", [this, calls] {
            return testbed_.store().calls() >= calls + 6;
        });
    }

    void test_a_running_server_missing_in_the_backup_stays_usable()
    {
        start_with_second_server_not_backed_up();
        const auto record = second_server_record();
        const unsigned calls = testbed_.store().calls();
        testbed_.store().restore();
        wait_for_resync(calls);
        CPPUNIT_ASSERT(is_usable("i-2"));
        testbed_.store().put(record.topic, record.key, record.value);
        CPPUNIT_ASSERT(stays_usable("i-2"));
    }

    void test_a_server_that_does_not_register_again_is_removed()
    {
        start_with_second_server_not_backed_up();
        testbed_.store().restore();
        testbed::wait_until(
            "the server's end", [this] { return !is_usable("i-2"); });
        CPPUNIT_ASSERT(is_usable("i-1"));
    }

    void test_a_restored_record_does_not_revive_a_draining_server()
    {
        testbed_.start();
        testbed_.store().back_up();
        testbed_.register_server(testbed_.second_server(), "draining");
        const unsigned calls = testbed_.store().calls();
        // In the backup it is ready.
        testbed_.store().restore();
        wait_for_resync(calls);
        CPPUNIT_ASSERT(!is_usable("i-2"));
        CPPUNIT_ASSERT(is_usable("i-1"));
    }

    // In the first read after the restore the record is missing; in the second
    // it is there again, unchanged.
    void test_an_unchanged_rewritten_record_counts()
    {
        start_with_second_server_not_backed_up();
        const auto record = second_server_record();
        const unsigned calls = testbed_.store().calls();
        testbed_.store().restore();
        wait_for_resync(calls);
        testbed_.store().restore({record});
        CPPUNIT_ASSERT(stays_usable("i-2"));
    }

    void test_a_host_rewrites_its_missing_record()
    {
        start_registered();
        testbed_.store().put("keyed.hosts", "h1", std::nullopt);
        testbed_.store().back_up();
        testbed_.store().restore();
        testbed::wait_until("the record", [this] {
            return testbed_.store().has("keyed.hosts", "h1");
        });
    }

    void test_hosts_missing_in_the_backup_stay_known()
    {
        start_registered();
        testbed_.store().back_up();
        testbed_.store().put("keyed.hosts", "h8", "127.0.0.1:8/east");
        wait_for_fleet(2);
        const unsigned calls = testbed_.store().calls();
        testbed_.store().restore();
        wait_for_resync(calls);
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
