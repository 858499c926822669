// Replaces the C library's clock_gettime to simulate suspensions, which advance
// CLOCK_BOOTTIME and CLOCK_REALTIME but not CLOCK_MONOTONIC.

#include "suspended_clock.hpp"

#include <atomic>
#include <ctime>

#include <dlfcn.h>

namespace {

std::atomic<std::time_t> suspended_seconds = 0;

using clock_gettime_function = int (*)(clockid_t, timespec*);

} // namespace

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

namespace godwit::test {

void suspend_for(std::chrono::seconds span)
{
    suspended_seconds += span.count();
}

} // namespace godwit::test
