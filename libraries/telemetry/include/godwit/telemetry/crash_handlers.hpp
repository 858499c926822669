#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::telemetry {

/// Installs handlers that log a crash to standard output: an uncaught exception
/// with its message, a fatal signal with its number. Called once, after
/// `start_log`.
void install_crash_handlers(
    const core::host_name& host, const core::zone_name& zone);

} // namespace godwit::telemetry
