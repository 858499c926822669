#pragma once

#include <string_view>

namespace godwit::telemetry {

/// Logs a fault that ended the connection of `peer`.
void log_connection_fault(std::string_view peer, std::string_view fault);

} // namespace godwit::telemetry
