#pragma once

namespace godwit::telemetry {

/// How much an event matters to whoever is on call.
enum class log_level
{
    debug,   ///< For finding faults; off as a rule.
    info,    ///< The ordinary course of things.
    warning, ///< Handled, but somebody should know.
    error,   ///< Something was lost or refused that should not be.
};

} // namespace godwit::telemetry
