#pragma once

#include <godwit/core/time.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::agent {

/// How long a timer shall wait for `wakeup`: at least 0 and at most an hour.
/// A decision that wants nothing names the end of time, which overflows the
/// timer's nanoseconds and would come back at once.
[[nodiscard]] inline core::duration
timer_wait(core::time_point wakeup, core::time_point now)
{
    constexpr core::duration longest = std::chrono::hours(1);
    if (wakeup <= now)
        return core::duration(0);
    if (wakeup >= now + longest)
        return longest;
    return wakeup - now;
}

} // namespace godwit::agent
