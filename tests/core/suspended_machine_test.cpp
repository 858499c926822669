#include <godwit/core/time.hpp>
#include <godwit/core/timer.hpp>

#include <boost/asio/io_context.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <ctime>

#include <dlfcn.h>

namespace {

using namespace godwit;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::atomic<std::time_t> suspended_seconds = 0;

using clock_gettime_function = int (*)(clockid_t, timespec*);

} // namespace

// Replaces the C library's function to simulate a suspension, which advances
// CLOCK_BOOTTIME and CLOCK_REALTIME but not CLOCK_MONOTONIC.
extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept
{
    static const auto real_clock_gettime =
        reinterpret_cast<clock_gettime_function>(
            ::dlsym(RTLD_NEXT, "clock_gettime"));
    const int result = real_clock_gettime(clock, now);
    if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME)
        now->tv_sec += suspended_seconds;
    return result;
}

namespace {

class suspended_machine_test : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(suspended_machine_test);
    CPPUNIT_TEST(test_clock_includes_suspension);
    CPPUNIT_TEST(test_timer_expired_during_suspension_fires);
    CPPUNIT_TEST_SUITE_END();

    void test_clock_includes_suspension()
    {
        const core::time_point before = core::monotonic_now();
        suspended_seconds += 5;
        const core::duration passed = core::monotonic_now() - before;
        CPPUNIT_ASSERT(passed >= seconds(5));
        CPPUNIT_ASSERT(passed < seconds(6));
    }

    // The kernel does not wake the event loop for the expired deadline, so a
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
        suspended_seconds += 60;
        io.run_for(seconds(5));
        CPPUNIT_ASSERT(has_fired);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(suspended_machine_test);

} // namespace
