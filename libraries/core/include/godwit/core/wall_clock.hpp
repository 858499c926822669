#pragma once

#include <chrono>

namespace godwit::core {

/// The time of day, since 1970 in UTC; for shells only. It may be wrong and
/// may jump: spans are measured with `monotonic_now`.
[[nodiscard]] std::chrono::milliseconds wall_clock_now() noexcept;

} // namespace godwit::core
