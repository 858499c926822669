#pragma once

#include <godwit/core/result.hpp>
#include <godwit/settings/reader.hpp>

#include <cstddef>
#include <string>

namespace godwit::settings {

/// Default limit of a settings file, in bytes.
inline constexpr std::size_t max_file_size = 1024UL * 1024UL;

/// Reads and parses a settings file. Fails with `not_found` if it cannot be
/// read, `exhausted` if it is larger than `max_size` bytes, and
/// `invalid_input` if it is not a JSON object.
[[nodiscard]] core::result<reader>
load_file(const std::string& path, std::size_t max_size = max_file_size);

} // namespace godwit::settings
