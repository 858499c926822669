#pragma once

#include <godwit/core/result.hpp>

#include <string>
#include <string_view>

namespace godwit::catalogue {

/// The SHA-256 of a bearer token as an organisation lists it, in 64
/// lower-case hexadecimal digits. Fails with `unavailable` if the digest
/// cannot be computed, for want of memory.
[[nodiscard]] core::result<std::string> token_hash(std::string_view token);

} // namespace godwit::catalogue
