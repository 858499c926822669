#pragma once

#include <godwit/telemetry/log_field.hpp>

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace godwit::telemetry {

/// Longest value of a log field, in bytes; a longer one is truncated and ends
/// with "...".
inline constexpr std::size_t max_log_value_bytes = 512;

/// Longest line, in bytes; fields that do not fit are omitted and counted in
/// `fields_left_out`.
inline constexpr std::size_t max_log_line_bytes = 4096;

/// Formats an event: `event=NAME key=value ...`. A value that is empty or
/// contains a space, quote, equals sign, backslash or control byte is quoted,
/// with C escapes.
[[nodiscard]] std::string
log_line(std::string_view event, std::initializer_list<log_field> fields);

} // namespace godwit::telemetry
