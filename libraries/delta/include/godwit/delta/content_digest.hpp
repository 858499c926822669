#pragma once

#include <string>
#include <string_view>

namespace godwit::delta {

/// Returns the SHA-256 digest of a text, 32 bytes. Equal digests mean equal
/// texts.
[[nodiscard]] std::string content_digest(std::string_view text);

} // namespace godwit::delta
