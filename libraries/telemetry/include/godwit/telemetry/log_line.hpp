#pragma once

#include <godwit/telemetry/log_field.hpp>

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>

namespace godwit::telemetry {

/// The longest value of a log field, in bytes; the rest is cut and marked.
inline constexpr std::size_t max_log_value_bytes = 512;

/// The longest line, in bytes; the fields that do not fit are left out and
/// counted in `fields_left_out`.
inline constexpr std::size_t max_log_line_bytes = 4096;

/// The text of an event: `event=NAME key=value ...`. A value that is empty
/// or holds a space, quote, equals sign, backslash or control byte is
/// quoted, with C's escapes.
[[nodiscard]] std::string
log_line(std::string_view event, std::initializer_list<log_field> fields);

} // namespace godwit::telemetry
