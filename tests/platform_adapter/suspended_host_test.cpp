// Guards against serving requests with outdated keys and servers after the
// machine was suspended: requests arrive before the responses of the store.

#include "testbed.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace godwit;
using platform_adapter::test::testbed;

class suspended_host_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(suspended_host_test);
    CPPUNIT_TEST(test_a_key_removed_during_the_suspension_is_refused);
    CPPUNIT_TEST(test_a_key_added_during_the_suspension_is_accepted);
    CPPUNIT_TEST(test_requests_wait_for_a_large_table_published_meanwhile);
    CPPUNIT_TEST(test_a_server_removed_during_the_suspension_gets_no_requests);
    CPPUNIT_TEST(test_requests_are_served_while_the_store_is_unavailable);
    CPPUNIT_TEST_SUITE_END();

    testbed testbed_;

    /// Returns the status of a request that arrives while the host is
    /// suspended.
    unsigned status_after_suspension(
        const std::string& key, const std::function<void()>& meanwhile)
    {
        std::future<unsigned> status;
        testbed_.suspend(std::chrono::seconds(30), [&] {
            testbed_.store().drop_open_reads();
            meanwhile();
            status = std::async(std::launch::async, [this, &key] {
                return testbed_.call("POST", "/plain/", key).status;
            });
            // Until its bytes have arrived.
            std::this_thread::sleep_for(std::chrono::milliseconds(100));
        });
        return status.get();
    }

    void start_with_key(const std::string& key)
    {
        testbed_.start();
        testbed_.publish(2, key);
        testbed::wait_until(
            "version 2", [this] { return testbed_.table_version() == 2; });
    }

    void test_a_key_removed_during_the_suspension_is_refused()
    {
        start_with_key("k2");
        const unsigned status =
            status_after_suspension("k2", [this] { testbed_.publish(3); });
        CPPUNIT_ASSERT_EQUAL(401U, status);
    }

    void test_a_key_added_during_the_suspension_is_accepted()
    {
        start_with_key("k2");
        const unsigned status = status_after_suspension(
            "k3", [this] { testbed_.publish(3, "k3"); });
        CPPUNIT_ASSERT_EQUAL(200U, status);
    }

    static std::string large_table(unsigned version)
    {
        std::string text = platform_adapter::test::table_text(version);
        std::string routes = "\"routes\":[";
        for (int number = 0; number < 15000; ++number)
            routes += R"({"name":"r","host":"b.example","path_prefix":"/)" +
                      std::to_string(number) + R"(/","service":"lm"},)";
        const std::string begin = "\"routes\":[";
        return text.replace(text.find(begin), begin.size(), routes);
    }

    // The table is parsed in slices, and requests are handled between them.
    void test_requests_wait_for_a_large_table_published_meanwhile()
    {
        start_with_key("k2");
        const unsigned status = status_after_suspension("k2", [this] {
            testbed_.store().put("keyed.op", "config", large_table(3));
        });
        CPPUNIT_ASSERT_EQUAL(401U, status);
    }

    void test_a_server_removed_during_the_suspension_gets_no_requests()
    {
        testbed_.start();
        const std::size_t before = testbed_.second_server().count("/plain/");
        std::vector<std::future<unsigned>> others;
        const unsigned status = status_after_suspension("k1", [this, &others] {
            testbed_.store().put("keyed.servers", "i-2", std::nullopt);
            for (int count = 0; count < 8; ++count)
                others.push_back(std::async(std::launch::async, [this] {
                    return testbed_.call("POST", "/plain/").status;
                }));
        });
        CPPUNIT_ASSERT_EQUAL(200U, status);
        for (auto& other : others)
            CPPUNIT_ASSERT_EQUAL(200U, other.get());
        CPPUNIT_ASSERT_EQUAL(before, testbed_.second_server().count("/plain/"));
    }

    void test_requests_are_served_while_the_store_is_unavailable()
    {
        start_with_key("k2");
        constexpr unsigned unavailable = 503;
        const unsigned status = status_after_suspension(
            "k2", [this] { testbed_.store().set_status(unavailable); });
        CPPUNIT_ASSERT_EQUAL(200U, status);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspended_host_test);

} // namespace
