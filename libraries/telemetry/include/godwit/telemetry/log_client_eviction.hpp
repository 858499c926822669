#pragma once

#include <godwit/memory/client_account.hpp>

namespace godwit::telemetry {

/// Logs that a client had to make room for others.
void log_client_eviction(const memory::eviction& ended);

} // namespace godwit::telemetry
