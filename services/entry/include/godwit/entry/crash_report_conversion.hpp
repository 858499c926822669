#pragma once

#include <godwit/admission/crash_report.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/wire/crash_reports.hpp>

#include <string>

namespace godwit::entry {

/// Converts a report to its wire form, with the age of the last crash at `now`.
[[nodiscard]] wire::crash_report
to_wire(const admission::crash_report& report, core::time_point now);

/// Converts a report from another host. Fails with `protocol` if the request's
/// fingerprint is invalid or a crash has no server id.
[[nodiscard]] core::result<admission::crash_report>
to_crash_report(const wire::crash_report& received, core::time_point now);

/// Parses a fingerprint from another host. Fails with `protocol` unless it is
/// 32 lower-case hexadecimal digits.
[[nodiscard]] core::result<admission::request_fingerprint>
to_fingerprint(const std::string& text);

} // namespace godwit::entry
