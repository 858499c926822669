// Guards against a host that misses what the store has, because its open reads
// hang on connections that fell silent.

#include "fake_neighbours.hpp"
#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>
#include <string>
#include <thread>

namespace {

using namespace godwit;
using platform_adapter::test::testbed;

class silent_store_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(silent_store_test);
    CPPUNIT_TEST(test_a_version_is_in_force_while_open_reads_hang);
    CPPUNIT_TEST(
        test_a_version_is_in_force_while_open_reads_hang_in_a_large_fleet);
    CPPUNIT_TEST(
        test_a_version_is_in_force_after_an_outage_without_primary_reader);
    CPPUNIT_TEST_SUITE_END();

    /// The shortest time from a disruption until a version has to be in force:
    /// 3 s until the hosts count as undisturbed and 2 s for the version.
    static constexpr std::chrono::seconds in_force_bound{5};

    testbed testbed_;

    void add_hosts(unsigned count)
    {
        for (unsigned number = 0; number < count; ++number)
            testbed_.store().put(
                "keyed.hosts",
                "other" + std::to_string(number),
                "127.0.0.1:" + std::to_string(number + 1) + "/east");
        testbed::wait_until("the fleet", [this, count] {
            return testbed_.run_on_host<bool>(
                [count](entry::entry_process& process) {
                    return process.fleet_size() > count;
                });
        });
    }

    bool has_version_in_time(unsigned version)
    {
        const auto end = std::chrono::steady_clock::now() + in_force_bound;
        while (std::chrono::steady_clock::now() < end) {
            if (testbed_.table_version() == version)
                return true;
            std::this_thread::sleep_for(std::chrono::milliseconds(20));
        }
        return false;
    }

    void check_version_after_silence()
    {
        testbed_.publish(2);
        testbed::wait_until(
            "version 2", [this] { return testbed_.table_version() == 2; });
        // Until the next reads are open.
        std::this_thread::sleep_for(std::chrono::milliseconds(1200));
        testbed_.store().drop_open_reads();
        testbed_.publish(3);
        CPPUNIT_ASSERT(has_version_in_time(3));
    }

    void test_a_version_is_in_force_while_open_reads_hang()
    {
        testbed_.start();
        check_version_after_silence();
    }

    void test_a_version_is_in_force_while_open_reads_hang_in_a_large_fleet()
    {
        testbed_.start();
        add_hosts(12);
        check_version_after_silence();
    }

    // A host that has just started is not the primary reader yet, so that its
    // reads of the route table are long ones.
    void test_a_version_is_in_force_after_an_outage_without_primary_reader()
    {
        testbed_.start();
        platform_adapter::test::fake_neighbours reader(
            1,
            testbed_.neighbours(),
            [](const wire::pull& /*pull*/) { return std::nullopt; },
            "a");
        const auto report = [&reader] {
            wire::host_work message;
            message.reads_list = true;
            reader.broadcast(message);
        };
        report();
        testbed_.publish(2);
        testbed::wait_until(
            "version 2", [this] { return testbed_.table_version() == 2; });
        // An outage that is longer than the pause between two reads of the list
        // of servers.
        for (int count = 0; count < 30; ++count) {
            testbed_.store().drop_open_reads();
            report();
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
        }
        testbed_.publish(3);
        CPPUNIT_ASSERT(has_version_in_time(3));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silent_store_test);

} // namespace
