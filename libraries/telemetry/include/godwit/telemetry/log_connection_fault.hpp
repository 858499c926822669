#pragma once

#include <string_view>

namespace godwit::telemetry {

/// Logs a fault at the connection of `peer`, which ended with it.
void log_connection_fault(std::string_view peer, std::string_view fault);

} // namespace godwit::telemetry
