#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/call_log.hpp>
#include <godwit/entry/server_limit_exchange.hpp>

#include <godwit/telemetry/log.hpp>

// Exchange of the request limits of backend servers.

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "neighbours";
// Number of hosts that is assumed until the hosts of the fleet are known.
constexpr std::size_t assumed_fleet_size = 6;

} // namespace

// Reports requests to this host's cell only, since each cell has its own share
// of the limit, and changes of the limit to all neighbours.
void entry_process::broadcast_limit(
    const placement::server_limit& limit, unsigned sends)
{
    neighbours_->broadcast(
        wire::server_limits{{to_wire(limit, sends, core::monotonic_now())}},
        sends > 0 ? audience::cell : audience::all);
}

wire::server_limits entry_process::limits_message() const
{
    const core::time_point now = core::monotonic_now();
    wire::server_limits message;
    for (const placement::server_limit& limit : context_.limits.limits())
        message.limits.push_back(to_wire(limit, 0, now));
    return message;
}

void entry_process::handle_limits(
    const core::host_name& host, const wire::server_limits& message)
{
    const core::time_point now = core::monotonic_now();
    for (const wire::server_limit& received : message.limits) {
        const auto limit = to_server_limit(received, now);
        if (!limit) {
            reject_limits(host, limit.error());
            return;
        }
        if (context_.limits.update_from_neighbour(*limit)) {
            log_server_limit(host.value(), *limit);
            broadcast_limit(*limit, 0);
        }
        if (received.sends > 0 && neighbours_->is_cell_peer(host))
            context_.limits.record_requests(limit->server, received.sends, now);
    }
}

// Counts every rejected message, but logs only the first one from each host.
void entry_process::reject_limits(
    const core::host_name& host, const core::error& why)
{
    context_.metrics
        ->counter(
            "godwit_refused_limit_messages_total",
            "Messages of neighbours about limits that cannot be read.")
        .Increment();
    if (malformed_limits_from_.insert(host).second)
        log_event(
            log_level::warning,
            component,
            "limit_message_refused",
            {{"neighbour", host}, {"cause", why.message()}});
}

void entry_process::update_limit_share()
{
    const std::size_t fleet_size =
        is_fleet_known_ ? fleet_size_ : assumed_fleet_size;
    const std::size_t linked = 1 + neighbours_->linked_cell_peers();
    context_.limits.set_hosts(linked, fleet_size);
    context_.cold_servers.set_hosts(linked, fleet_size);
}

} // namespace godwit::entry
