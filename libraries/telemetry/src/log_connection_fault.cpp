#include <godwit/telemetry/log_connection_fault.hpp>

#include <godwit/telemetry/log.hpp>

namespace godwit::telemetry {

void log_connection_fault(std::string_view peer, std::string_view fault)
{
    log_event(
        log_level::error,
        "http",
        "connection_fault",
        {{"peer", peer}, {"cause", fault}});
}

} // namespace godwit::telemetry
