#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>

namespace godwit::entry {

/// Converts an age to the milliseconds of a wire message, clamped to their
/// range.
[[nodiscard]] std::uint32_t wire_age_ms(core::duration age) noexcept;

} // namespace godwit::entry
