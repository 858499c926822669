#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace godwit::request {

/// `bytes` in base64url without padding (RFC 4648, section 5).
[[nodiscard]] std::string to_base64url(std::string_view bytes);

/// The bytes behind `text`; nothing where it is not what `to_base64url`
/// writes, so that one value has one text.
[[nodiscard]] std::optional<std::string> from_base64url(std::string_view text);

} // namespace godwit::request
