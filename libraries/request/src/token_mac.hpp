#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace godwit::request {

/// The length of an HMAC-SHA-256 in bytes.
inline constexpr std::size_t mac_length = 32;

/// The HMAC-SHA-256 (RFC 2104) of `text` by OpenSSL; nothing where OpenSSL
/// fails, for want of memory.
[[nodiscard]] std::optional<std::string>
mac_of(std::string_view secret, std::string_view text);

/// Compares in a time that does not depend on where the two differ.
[[nodiscard]] bool
equal_in_constant_time(std::string_view left, std::string_view right);

} // namespace godwit::request
