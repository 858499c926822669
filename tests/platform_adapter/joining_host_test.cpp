// When a whole fleet starts, no host has heard another one yet. Each that then
// took itself for the quick reader asked every engine for its report.

#include "testbed.hpp"

#include <godwit/platform_adapter/request_codec.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <utility>

namespace {

using namespace godwit;
using namespace godwit::platform_adapter;

class new_host_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(new_host_test);
    CPPUNIT_TEST(test_a_host_beside_others_is_no_quick_reader_at_its_start);
    CPPUNIT_TEST(test_a_host_alone_is_the_quick_reader_at_once);
    CPPUNIT_TEST_SUITE_END();

    boost::asio::io_context io_{1};

    std::unique_ptr<entry::entry_process>
    started(const std::vector<http::endpoint>& seeds)
    {
        auto made = test::start_process(io_, seeds);
        made->start();
        return made;
    }

    void test_a_host_beside_others_is_no_quick_reader_at_its_start()
    {
        const auto other = http::endpoint::parse("127.0.0.1:1").value();
        const auto process = started({other});
        CPPUNIT_ASSERT(process->is_joining_fleet());
        CPPUNIT_ASSERT(!process->is_primary_list_reader());
    }

    void test_a_host_alone_is_the_quick_reader_at_once()
    {
        const auto process = started({});
        CPPUNIT_ASSERT(!process->is_joining_fleet());
        CPPUNIT_ASSERT(process->is_primary_list_reader());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(new_host_test);

} // namespace
