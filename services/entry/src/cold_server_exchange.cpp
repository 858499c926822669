#include <godwit/entry/cold_server_exchange.hpp>

#include <optional>

namespace godwit::entry {

namespace {

std::optional<routing::warm_up_profile>
find_warm_up(const entry_context& context, const core::service_name& name)
{
    const routing::service* service =
        context.routes ? context.routes->find_service(name) : nullptr;
    if (service == nullptr)
        return std::nullopt;
    return service->warm_up;
}

} // namespace

bool record_cold_server(
    entry_context& context,
    const placement::backend_server& server,
    core::duration remaining)
{
    const auto profile = find_warm_up(context, server.service);
    return profile &&
           context.cold_servers.record(
               server.id, *profile, remaining, core::monotonic_now());
}

void presume_cold(
    entry_context& context, const placement::backend_server& server)
{
    const auto profile = find_warm_up(context, server.service);
    if (profile)
        context.cold_servers.record(
            server.id, *profile, profile->duration, core::monotonic_now());
}

void record_request_to_cold_server(
    entry_context& context, const placement::server_id& server)
{
    const bool is_cold =
        context.cold_servers.record_own_request(server, core::monotonic_now());
    if (is_cold && context.broadcast_cold_server)
        context.broadcast_cold_server(server, 1);
}

} // namespace godwit::entry
