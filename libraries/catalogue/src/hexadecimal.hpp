#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace godwit::catalogue {

/// `value` as 16 lower-case hexadecimal digits: JSON readers elsewhere may
/// not keep all 64 bits of a number.
[[nodiscard]] std::string to_hexadecimal(std::uint64_t value);

/// Reads what `to_hexadecimal` wrote.
[[nodiscard]] std::optional<std::uint64_t>
from_hexadecimal(std::string_view text);

} // namespace godwit::catalogue
