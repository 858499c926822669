#pragma once

#include <string>
#include <string_view>

namespace godwit::delta {

/// The SHA-256 of a text, 32 bytes: two ends that know the same one have the
/// same text.
[[nodiscard]] std::string content_digest(std::string_view text);

} // namespace godwit::delta
