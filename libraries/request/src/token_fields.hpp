#pragma once

#include <godwit/request/resume_token.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace godwit::request {

/// The longest text field in a token, in bytes.
inline constexpr std::size_t field_limit = 0xffff;

/// The token as bytes; nothing where a field is too long.
[[nodiscard]] std::optional<std::string> pack(const resume_token& token);

/// The token behind `bytes`; nothing where they are not what `pack` writes.
[[nodiscard]] std::optional<resume_token> unpack(std::string_view bytes);

} // namespace godwit::request
