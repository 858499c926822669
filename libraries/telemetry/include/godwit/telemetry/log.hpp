#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/telemetry/log_field.hpp>
#include <godwit/telemetry/log_level.hpp>

#include <initializer_list>
#include <string_view>

namespace godwit::telemetry {

/// The destination of the log.
enum class log_target
{
    standard_error,  ///< Writes every line; blocks if the reader is slow.
    standard_output, ///< Rate-limited and non-blocking, see `bounded_sink`.
};

/// Writes events of level `lowest` and above to `target`, one line each:
/// `time=... level=... component=... host=... zone=... event=... key=value`.
/// Call once, before the first thread that logs. Also ignores SIGPIPE, so that
/// a write to a pipe without a reader fails instead of ending the process.
void start_log(
    log_level lowest,
    const core::host_name& host,
    const core::zone_name& zone,
    log_target target = log_target::standard_error);

/// Logs an event of `component`. Thread-safe; nothing is written before
/// `start_log`.
void log_event(
    log_level level,
    std::string_view component,
    std::string_view event,
    std::initializer_list<log_field> fields = {});

} // namespace godwit::telemetry
