#pragma once

#include <godwit/http/header_fields.hpp>

namespace godwit::proxy {

/// The fields of a caller's request that a plain service gets: neither what
/// belongs to one hop (RFC 9110, section 7.6.1), nor the caller's bearer
/// token, nor what only the proxy may say.
[[nodiscard]] http::header_fields
passed_on(const http::header_fields& received);

/// The fields of a plain service's answer that the caller gets.
[[nodiscard]] http::header_fields
passed_back(const http::header_fields& received);

} // namespace godwit::proxy
