#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/telemetry/log_field.hpp>
#include <godwit/telemetry/log_level.hpp>

#include <initializer_list>
#include <string_view>

namespace godwit::telemetry {

/// Where the log goes.
enum class log_target
{
    standard_error,  ///< Each line, waiting for the reader where it must.
    standard_output, ///< Bounded and without waiting, see `bounded_sink`.
};

/// Sends events of `lowest` and above to `target`, one line each:
/// `time=... level=... component=... host=... zone=... event=... key=value`.
/// Call once, before the first thread that logs. From then on a write to a
/// pipe that nobody reads fails instead of ending the process.
void start_log(
    log_level lowest,
    const core::host_name& host,
    const core::zone_name& zone,
    log_target target = log_target::standard_error);

/// Logs one event of `component`. Safe from every thread; nothing is
/// written before `start_log`.
void log_event(
    log_level level,
    std::string_view component,
    std::string_view event,
    std::initializer_list<log_field> fields = {});

} // namespace godwit::telemetry
