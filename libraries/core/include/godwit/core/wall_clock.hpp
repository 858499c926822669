#pragma once

#include <chrono>

namespace godwit::core {

/// Returns the Unix time (since 1970, in UTC). Only the code that does I/O
/// calls it. It may be wrong and may jump, so durations are measured with
/// `monotonic_now`.
[[nodiscard]] std::chrono::milliseconds wall_clock_now() noexcept;

} // namespace godwit::core
