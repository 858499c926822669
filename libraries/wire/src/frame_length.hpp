#pragma once

#include <godwit/core/result.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace godwit::wire {

/// The length as the four little-endian bytes before a frame's body.
[[nodiscard]] std::string encode_length(std::uint32_t length);

/// The length in the first four bytes, which must be there.
[[nodiscard]] std::uint32_t decode_length(std::string_view bytes) noexcept;

/// Refuses a limit that no frame could honour.
[[nodiscard]] core::result<std::size_t> check_limit(std::size_t limit);

} // namespace godwit::wire
