#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/settings/range.hpp>
#include <godwit/settings/reader.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace godwit::settings {

/// Reads a duration in whole milliseconds; `default_value` if the key is
/// missing. Fails with `invalid_input` and the key's path.
[[nodiscard]] core::result<core::duration> read_duration(
    reader& from,
    std::string_view key,
    range<std::chrono::milliseconds> allowed,
    core::duration default_value);

/// Reads a count; `default_value` if the key is missing. Fails with
/// `invalid_input` and the key's path.
[[nodiscard]] core::result<std::size_t> read_count(
    reader& from,
    std::string_view key,
    range<std::int64_t> allowed,
    std::size_t default_value);

/// Longest name of a host, zone or service, in bytes.
inline constexpr std::size_t max_name_length = 128;

/// Reads a required name. Fails with `invalid_input` and the key's path.
template<class Name>
[[nodiscard]] core::result<Name> read_name(reader& from, std::string_view key)
{
    return Name(
        GODWIT_TRY(from.get_string(key, std::nullopt, max_name_length)));
}

} // namespace godwit::settings
