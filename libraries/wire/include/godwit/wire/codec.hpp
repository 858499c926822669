#pragma once

#include <godwit/core/result.hpp>
#include <godwit/wire/message.hpp>

#include <string>
#include <string_view>

namespace godwit::wire {

/// Returns the frame body for `value`, without the length prefix.
[[nodiscard]] std::string encode(const message& value);

/// Decodes a frame body, which is verified first. Fails with `protocol` if it
/// is not a valid frame of this version. Copies at most as many bytes out of
/// the body as it has.
[[nodiscard]] core::result<message> decode(std::string_view body);

} // namespace godwit::wire
