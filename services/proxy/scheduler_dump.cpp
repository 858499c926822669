#include "scheduler_dump.hpp"

#include <godwit/telemetry/state_dump.hpp>

namespace godwit::proxy {

namespace {

namespace json = boost::json;
using telemetry::state_dump;

json::object
server_dump(const dispatch::server_state& server, const membership::pool& pool)
{
    return {
        {"address", server.address.value()},
        {"state", membership::to_string(pool.state_of(server.address))},
        {"running", server.running},
        {"memory_tokens", server.memory_tokens},
        {"expected_tokens", server.expected_tokens},
        {"own_running", server.own_running}};
}

json::object service_dump(
    const dispatch::service_state& service, const membership::pool& pool)
{
    return {
        {"service", service.name.value()},
        {"queued", service.queued},
        {"servers", state_dump::list(service.servers, [&pool](const auto& one) {
             return server_dump(one, pool);
         })}};
}

} // namespace

json::object scheduler_dump(
    const dispatch::scheduler_state& state, const membership::pool& pool)
{
    return {
        {"requests", state.requests},
        {"organisations", state.organisations},
        {"services", state_dump::list(state.services, [&pool](const auto& one) {
             return service_dump(one, pool);
         })}};
}

} // namespace godwit::proxy
