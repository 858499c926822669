#pragma once

namespace godwit::telemetry {

/// Severity of a log event.
enum class log_level
{
    debug,   ///< For debugging; usually off.
    info,    ///< Normal operation.
    warning, ///< A problem that was handled, of interest to operators.
    error,   ///< Something was lost or refused that should not be.
};

} // namespace godwit::telemetry
