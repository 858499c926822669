#pragma once

#include <godwit/core/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::wire {

/// Encodes a frame's length prefix: four bytes, little-endian.
[[nodiscard]] std::string encode_length(std::uint32_t length);

/// Decodes the length prefix; `bytes` must have at least four bytes.
[[nodiscard]] std::uint32_t decode_length(std::string_view bytes) noexcept;

/// Returns `limit`, or `invalid_input` if it is 0 or does not fit into the
/// length prefix.
[[nodiscard]] core::result<std::size_t> check_limit(std::size_t limit);

} // namespace godwit::wire
