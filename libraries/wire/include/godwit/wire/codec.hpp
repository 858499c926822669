#pragma once

#include <godwit/core/result.hpp>
#include <godwit/wire/message.hpp>

#include <string>
#include <string_view>

namespace godwit::wire {

/// The body of the frame that carries `value`, without its length.
[[nodiscard]] std::string encode(const message& value);

/// The message in a frame's body. The body is verified before use; fails
/// with `protocol` when it is no valid frame of this version. What is copied
/// out of it is never larger than the body itself.
[[nodiscard]] core::result<message> decode(std::string_view body);

} // namespace godwit::wire
