#pragma once

#include <chrono>

namespace godwit::core {

/// Clock type of the library's time points. It has no `now`: the logic gets the
/// time as an argument and never reads it from the system.
struct injected_clock
{
    using rep = std::chrono::microseconds::rep;
    using period = std::chrono::microseconds::period;
    using duration = std::chrono::microseconds;
    using time_point = std::chrono::time_point<injected_clock>;
    static constexpr bool is_steady = true;
};

/// A duration in microseconds.
using duration = injected_clock::duration;

/// A point in time of the process's monotonic clock, in microseconds.
using time_point = injected_clock::time_point;

/// Returns the current time of the process's monotonic clock, which includes
/// the time for which the machine was suspended. Only the code that does I/O
/// calls it and passes the time on.
[[nodiscard]] time_point monotonic_now() noexcept;

} // namespace godwit::core
