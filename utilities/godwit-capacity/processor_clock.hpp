#pragma once

namespace godwit::capacity {

/// Microseconds of processor time that this process has used. A busy machine
/// disturbs it less than elapsed time.
[[nodiscard]] double processor_microseconds() noexcept;

} // namespace godwit::capacity
