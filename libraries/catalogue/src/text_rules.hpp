#pragma once

#include <string_view>

namespace godwit::catalogue {

/// Whether `text` may name an entry, an operator or a change set: 1 to
/// `maximum_name_bytes` ASCII letters, digits, '.', '_', '-' and '@'.
[[nodiscard]] bool is_valid_name(std::string_view text) noexcept;

/// Whether `text` is a SHA-256 as 64 lower-case hexadecimal digits.
[[nodiscard]] bool is_sha256_digits(std::string_view text) noexcept;

} // namespace godwit::catalogue
