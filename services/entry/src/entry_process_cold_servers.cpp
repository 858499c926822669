#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/cold_server_exchange.hpp>
#include <godwit/entry/wire_age.hpp>

#include <algorithm>
#include <chrono>

// Exchange of cold backend servers and of the requests that are sent to them.

namespace godwit::entry {

namespace {

// Bounds of what another host may report in one message.
constexpr core::duration max_warm_up = std::chrono::minutes(1);
constexpr std::uint32_t max_sends = 100'000;

} // namespace

// Reports requests to this host's cell only, since each cell has its own share
// of the server's rate, and a server that became cold to all neighbours.
void entry_process::broadcast_cold_server(
    const placement::server_id& server, unsigned sends)
{
    const placement::backend_server* known = context_.directory.find(server);
    if (known == nullptr)
        return;
    const core::duration remaining =
        context_.cold_servers.remaining(server, core::monotonic_now());
    neighbours_->broadcast(
        wire::cold_servers{
            {{server.value(),
              known->start.unix_ms,
              wire_age_ms(remaining),
              sends}}},
        sends > 0 ? audience::cell : audience::all);
}

void entry_process::handle_cold_servers(
    const core::host_name& host, const wire::cold_servers& message)
{
    const core::time_point now = core::monotonic_now();
    for (const wire::cold_server& received : message.servers) {
        const placement::server_id id(received.server);
        const placement::backend_server* known = context_.directory.find(id);
        const bool is_current =
            known != nullptr && known->start.unix_ms == received.started_at_ms;
        if (!is_current)
            continue;
        const core::duration remaining = std::min<core::duration>(
            std::chrono::milliseconds(received.remaining_ms), max_warm_up);
        if (record_cold_server(context_, *known, remaining))
            broadcast_cold_server(id, 0);
        if (neighbours_->is_cell_peer(host))
            context_.cold_servers.record_requests(
                id, std::min(received.sends, max_sends), now);
    }
}

// The servers of a zone may be cold when its evacuation ends.
void entry_process::presume_cold_zone(const core::zone_name& zone)
{
    for (const auto& id : context_.directory.ids()) {
        const placement::backend_server& server = *context_.directory.find(id);
        if (server.zone == zone)
            presume_cold(context_, server);
    }
}

} // namespace godwit::entry
