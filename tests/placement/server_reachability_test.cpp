// Guards against a host that takes crashed servers for lost links, or that does
// not notice that its links are back.

#include <godwit/placement/server_reachability.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

namespace {

using godwit::core::time_point;
using godwit::http::endpoint;
using godwit::placement::server_id;
using godwit::placement::server_reachability;

class server_reachability_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(server_reachability_test);
    CPPUNIT_TEST(test_a_single_failed_server_causes_no_probe);
    CPPUNIT_TEST(test_the_only_server_causes_a_probe);
    CPPUNIT_TEST(test_failures_expire);
    CPPUNIT_TEST(test_links_are_lost_if_no_probed_server_is_reached);
    CPPUNIT_TEST(test_one_reached_server_is_enough);
    CPPUNIT_TEST(test_probes_go_on_until_the_links_are_restored);
    CPPUNIT_TEST(test_a_server_that_cannot_be_reached_needs_a_detour);
    CPPUNIT_TEST(test_a_detour_ends_when_the_server_is_reached);
    CPPUNIT_TEST(test_lost_links_need_detours_to_all_servers);
    CPPUNIT_TEST_SUITE_END();

    server_reachability links_;

    static time_point at_ms(int milliseconds)
    {
        return time_point(std::chrono::milliseconds(10000 + milliseconds));
    }

    static endpoint address(int port)
    {
        return endpoint::parse("10.0.0.1:" + std::to_string(port)).value();
    }

    void test_a_server_that_cannot_be_reached_needs_a_detour()
    {
        links_.record_connect_failure(address(1), at_ms(0));
        CPPUNIT_ASSERT(links_.needs_detour(address(1), at_ms(9999)));
        CPPUNIT_ASSERT(!links_.needs_detour(address(2), at_ms(0)));
        CPPUNIT_ASSERT(!links_.needs_detour(address(1), at_ms(10000)));
    }

    void test_a_detour_ends_when_the_server_is_reached()
    {
        links_.record_connect_failure(address(1), at_ms(0));
        CPPUNIT_ASSERT(links_.take_due_detours(at_ms(999)).empty());
        CPPUNIT_ASSERT(
            links_.take_due_detours(at_ms(1000)) == std::vector{address(1)});
        CPPUNIT_ASSERT(links_.take_due_detours(at_ms(1500)).empty());
        links_.record_connected(address(1));
        CPPUNIT_ASSERT(!links_.needs_detour(address(1), at_ms(1500)));
        CPPUNIT_ASSERT(links_.take_due_detours(at_ms(5000)).empty());
    }

    void test_lost_links_need_detours_to_all_servers()
    {
        CPPUNIT_ASSERT(!links_.needs_detour(address(1), at_ms(0)));
        lose_links();
        CPPUNIT_ASSERT(links_.needs_detour(address(1), at_ms(0)));
    }

    void fail_two_servers()
    {
        links_.record_failure(server_id("i-1"), at_ms(0));
        links_.record_failure(server_id("i-2"), at_ms(0));
    }

    void lose_links()
    {
        fail_two_servers();
        links_.begin_probe(at_ms(0));
        CPPUNIT_ASSERT(links_.end_probe(0));
    }

    void test_a_single_failed_server_causes_no_probe()
    {
        links_.record_failure(server_id("i-1"), at_ms(0));
        links_.record_failure(server_id("i-1"), at_ms(10));
        CPPUNIT_ASSERT(!links_.should_probe(17, at_ms(20)));
        links_.record_failure(server_id("i-2"), at_ms(20));
        CPPUNIT_ASSERT(links_.should_probe(17, at_ms(30)));
    }

    void test_the_only_server_causes_a_probe()
    {
        links_.record_failure(server_id("i-1"), at_ms(0));
        CPPUNIT_ASSERT(links_.should_probe(1, at_ms(10)));
        CPPUNIT_ASSERT(!links_.should_probe(0, at_ms(10)));
    }

    void test_failures_expire()
    {
        fail_two_servers();
        CPPUNIT_ASSERT(links_.should_probe(17, at_ms(1999)));
        CPPUNIT_ASSERT(!links_.should_probe(17, at_ms(2000)));
    }

    void test_links_are_lost_if_no_probed_server_is_reached()
    {
        fail_two_servers();
        links_.begin_probe(at_ms(0));
        CPPUNIT_ASSERT(!links_.should_probe(17, at_ms(600)));
        CPPUNIT_ASSERT(!links_.are_links_lost());
        CPPUNIT_ASSERT(links_.end_probe(0));
        CPPUNIT_ASSERT(links_.are_links_lost());
    }

    void test_one_reached_server_is_enough()
    {
        fail_two_servers();
        links_.begin_probe(at_ms(0));
        CPPUNIT_ASSERT(!links_.end_probe(1));
        CPPUNIT_ASSERT(!links_.are_links_lost());
        CPPUNIT_ASSERT(!links_.should_probe(17, at_ms(600)));
    }

    void test_probes_go_on_until_the_links_are_restored()
    {
        lose_links();
        CPPUNIT_ASSERT(!links_.should_probe(17, at_ms(499)));
        CPPUNIT_ASSERT(links_.should_probe(17, at_ms(60000)));
        links_.begin_probe(at_ms(60000));
        CPPUNIT_ASSERT(links_.end_probe(3));
        CPPUNIT_ASSERT(!links_.are_links_lost());
        CPPUNIT_ASSERT(!links_.should_probe(17, at_ms(61000)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_reachability_test);

} // namespace
