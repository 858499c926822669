// Guards against every host of a starting fleet acting as the primary list
// reader, because it has not heard from another host yet: each of them polled
// every engine for its report.

#include "testbed.hpp"

#include <godwit/platform_adapter/request_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <utility>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter;

class joining_host_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(joining_host_test);
    CPPUNIT_TEST(test_a_joining_host_is_not_the_primary_reader);
    CPPUNIT_TEST(test_a_single_host_is_the_primary_reader);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context io_{1};

    std::unique_ptr<entry::entry_process>
    start_process(const std::vector<http::endpoint>& seeds)
    {
        auto made = test::start_process(io_, seeds);
        made->start();
        return made;
    }

    void test_a_joining_host_is_not_the_primary_reader()
    {
        const auto other = http::endpoint::parse("127.0.0.1:1").value();
        const auto process = start_process({other});
        CPPUNIT_ASSERT(process->is_joining_fleet());
        CPPUNIT_ASSERT(!process->is_primary_list_reader());
    }

    void test_a_single_host_is_the_primary_reader()
    {
        const auto process = start_process({});
        CPPUNIT_ASSERT(!process->is_joining_fleet());
        CPPUNIT_ASSERT(process->is_primary_list_reader());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(joining_host_test);

} // namespace
