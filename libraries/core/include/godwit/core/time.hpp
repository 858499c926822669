#pragma once

#include <chrono>

namespace godwit::core {

/// Time as decisions see it: an argument, never read from the system.
struct decision_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<decision_clock>;
    static constexpr bool is_steady = true;
};

/// A span of time, in microseconds.
using duration = decision_clock::duration;

/// A moment on the monotonic clock of one process, in microseconds.
using time_point = decision_clock::time_point;

/// The current moment of the process's monotonic clock, which includes the time
/// for which the machine was suspended; for shells only.
[[nodiscard]] time_point monotonic_now() noexcept;

} // namespace godwit::core
