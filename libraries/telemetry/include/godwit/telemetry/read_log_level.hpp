#pragma once

#include <godwit/core/result.hpp>
#include <godwit/settings/reader.hpp>
#include <godwit/telemetry/log_level.hpp>

namespace godwit::telemetry {

/// Reads the key `log_level` of a program's settings, `info` if it is missing.
/// Fails with `invalid_input` and a list of the levels.
[[nodiscard]] core::result<log_level> read_log_level(settings::reader& from);

} // namespace godwit::telemetry
