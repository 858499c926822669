// Guards against a host that takes its links for lost because it probed servers
// that it cannot expect to reach.

#include "samples.hpp"

#include <godwit/placement/probed_servers.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <set>

namespace {

using namespace godwit;
using namespace godwit::placement;

class probed_servers_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(probed_servers_test);
    CPPUNIT_TEST(test_servers_of_the_own_zone_come_first);
    CPPUNIT_TEST(test_draining_servers_are_not_probed);
    CPPUNIT_TEST(test_different_servers_are_probed_each_time);
    CPPUNIT_TEST_SUITE_END();

    server_directory directory_;
    core::random random_{1};
    const core::time_point now_{std::chrono::seconds(1)};

    backend_server add(int number, const std::string& zone)
    {
        backend_server server = test::sample_server(number, zone);
        directory_.update(server, now_);
        return server;
    }

    std::vector<http::endpoint> choose(std::size_t count)
    {
        return choose_probed_servers(
            directory_, core::zone_name("east"), count, random_);
    }

    void test_servers_of_the_own_zone_come_first()
    {
        const auto own = add(1, "east");
        for (int number = 2; number < 20; ++number)
            add(number, "west");
        CPPUNIT_ASSERT(choose(1) == std::vector{own.address});
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, choose(3).size());
        CPPUNIT_ASSERT(choose(3).front() == own.address);
    }

    void test_draining_servers_are_not_probed()
    {
        directory_.update(test::draining(add(1, "east")), now_);
        CPPUNIT_ASSERT(choose(3).empty());
    }

    void test_different_servers_are_probed_each_time()
    {
        for (int number = 1; number < 20; ++number)
            add(number, "east");
        std::set<http::endpoint> probed;
        for (int repeat = 0; repeat < 50; ++repeat)
            probed.insert(choose(1).front());
        CPPUNIT_ASSERT(probed.size() > 10);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(probed_servers_test);

} // namespace
