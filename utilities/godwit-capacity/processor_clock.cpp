#include "processor_clock.hpp"

#include <ctime>

namespace godwit::capacity {

double processor_microseconds() noexcept
{
    constexpr double microseconds_in_second = 1e6;
    constexpr double nanoseconds_in_microsecond = 1e3;
    timespec now{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return static_cast<double>(now.tv_sec) * microseconds_in_second +
           static_cast<double>(now.tv_nsec) / nanoseconds_in_microsecond;
}

} // namespace godwit::capacity
