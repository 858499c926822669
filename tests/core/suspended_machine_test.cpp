#include "suspended_clock.hpp"

#include <godwit/core/time.hpp>
#include <godwit/core/timer.hpp>

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace {

using namespace godwit;
using std::chrono::milliseconds;
using std::chrono::seconds;

class suspended_machine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(suspended_machine_test);
    CPPUNIT_TEST(test_clock_includes_suspension);
    CPPUNIT_TEST(test_timer_expired_during_suspension_fires);
    CPPUNIT_TEST_SUITE_END();

    void test_clock_includes_suspension()
    {
        const core::time_point before = core::monotonic_now();
        test::suspend_for(seconds(5));
        const core::duration passed = core::monotonic_now() - before;
        CPPUNIT_ASSERT(passed >= seconds(5));
        CPPUNIT_ASSERT(passed < seconds(6));
    }

    // The kernel does not wake the event loop for the expired deadline; a
    // second timer does.
    void test_timer_expired_during_suspension_fires()
    {
        boost::asio::io_context io(1);
        core::timer deadline(io, seconds(60));
        core::timer tick(io, milliseconds(20));
        bool has_fired = false;
        deadline.async_wait(
            [&has_fired](const auto& failure) { has_fired = !failure; });
        tick.async_wait([](const auto&) {});
        test::suspend_for(seconds(60));
        io.run_for(seconds(5));
        CPPUNIT_ASSERT(has_fired);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspended_machine_test);

} // namespace
