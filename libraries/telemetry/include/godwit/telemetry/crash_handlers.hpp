#pragma once

#include <godwit/core/identifiers.hpp>

namespace godwit::telemetry {

/// From now on a process that ends by a fault says so on standard output:
/// an uncaught exception with what it said, a fatal signal with its number.
/// Called once, after `start_log`.
void install_crash_handlers(
    const core::host_name& host, const core::zone_name& zone);

} // namespace godwit::telemetry
