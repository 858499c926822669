#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::claims {

/// The digits of a 64-bit number in the codec.
inline constexpr std::size_t hex_width = 16;

/// `value` as 16 lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(std::uint64_t value);

/// Reads exactly 16 lower-case hexadecimal digits.
[[nodiscard]] std::optional<std::uint64_t> from_hex(std::string_view text);

} // namespace godwit::claims
