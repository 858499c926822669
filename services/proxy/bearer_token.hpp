#pragma once

#include <godwit/core/result.hpp>

#include <string>
#include <string_view>

namespace godwit::proxy {

/// The SHA-256 of a bearer token as the catalogue keeps it, in 64 lower-case
/// hexadecimal digits. Fails with `unavailable` if the digest cannot be
/// computed, for want of memory.
[[nodiscard]] core::result<std::string>
bearer_token_hash(std::string_view token);

} // namespace godwit::proxy
