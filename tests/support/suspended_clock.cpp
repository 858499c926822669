// Replaces the C library's clock_gettime to simulate suspensions. Preloaded
// into a program, it counts the seconds in the file that the environment
// variable GODWIT_SUSPENDED_SECONDS names, as a 64-bit integer.

#include "suspended_clock.hpp"

#include <atomic>
#include <cstdint>
#include <cstdlib>
#include <ctime>

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

namespace {

using seconds_counter = std::atomic<std::int64_t>;

seconds_counter own_seconds = 0;

seconds_counter* mapped_seconds()
{
    const char* path = std::getenv("GODWIT_SUSPENDED_SECONDS");
    const int file = path != nullptr ? ::open(path, O_RDWR) : -1;
    if (file < 0)
        return &own_seconds;
    void* mapped = ::mmap(
        nullptr, sizeof(seconds_counter), PROT_READ, MAP_SHARED, file, 0);
    ::close(file);
    return mapped != MAP_FAILED ? static_cast<seconds_counter*>(mapped)
                                : &own_seconds;
}

seconds_counter& suspended_seconds()
{
    static seconds_counter* const counter = mapped_seconds();
    return *counter;
}

using clock_gettime_function = int (*)(clockid_t, timespec*);

} // namespace

extern "C" int clock_gettime(clockid_t clock, timespec* now) noexcept
{
    static const auto real_clock_gettime =
        reinterpret_cast<clock_gettime_function>(
            ::dlsym(RTLD_NEXT, "clock_gettime"));
    const int result = real_clock_gettime(clock, now);
    if (clock == CLOCK_BOOTTIME || clock == CLOCK_REALTIME)
        now->tv_sec += suspended_seconds();
    return result;
}

namespace godwit::test {

void suspend_for(std::chrono::seconds span)
{
    suspended_seconds() += span.count();
}

} // namespace godwit::test
