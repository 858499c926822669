#include <godwit/core/time.hpp>

#include <ctime>

namespace godwit::core {

// Not std::chrono::steady_clock: it reads CLOCK_MONOTONIC, which stops while
// the machine is suspended, so that expired deadlines and leases would look
// valid.
time_point monotonic_now() noexcept
{
    std::timespec now{};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(
        std::chrono::seconds(now.tv_sec) +
        std::chrono::nanoseconds(now.tv_nsec)));
}

} // namespace godwit::core
