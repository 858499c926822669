#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/cold_server_exchange.hpp>
#include <godwit/entry/server_id_list.hpp>

#include <godwit/telemetry/log.hpp>

#include <cstddef>
#include <utility>

// Backend servers that appear, change and leave.

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";
// Servers whose changes are logged one by one in a tick.
constexpr std::size_t max_logged_server_changes = 16;

} // namespace

void entry_process::add_or_update_server(
    const placement::backend_server& server, std::string_view source)
{
    const placement::backend_server* known = context_.directory.find(server.id);
    const http::endpoint previous_address =
        known != nullptr ? known->address : server.address;
    const auto change =
        context_.directory.update(server, core::monotonic_now());
    const bool is_cold_news =
        server.warm_up_remaining > core::duration::zero() &&
        record_cold_server(context_, server, server.warm_up_remaining);
    // Every host presumes by itself that a server which appears is cold.
    if (is_cold_news && change == placement::directory_change::none)
        broadcast_cold_server(server.id, 0);
    switch (change) {
    case placement::directory_change::none:
        return;
    case placement::directory_change::left:
        on_server_draining(server.id, source);
        return;
    case placement::directory_change::restarted:
        on_server_restarted(server.id, previous_address, source);
        break;
    case placement::directory_change::appeared:
        break;
    }
    if (context_.directory.is_usable(server.id))
        on_server_added(server, source);
    else
        on_server_draining(server.id, source);
}

void entry_process::on_server_added(
    const placement::backend_server& server, std::string_view source)
{
    context_.connections->forget(server.address);
    context_.queue.wake_first();
    // The servers of the first list are logged together, and neighbours that
    // lack them request them. Those that appear later have just started or
    // returned.
    if (!has_servers_)
        return;
    queue_server_change(server.id, source);
    presume_cold(context_, server);
    if (!may_log_server_change())
        return;
    log_event(
        log_level::info,
        component,
        "server_appeared",
        {{"server", server.id},
         {"service", server.service},
         {"address", server.address.to_string()},
         {"source", source}});
}

// A fleet changes thousands of servers at a time when a zone returns. The first
// changes of a tick are logged one by one, and the others are counted.
bool entry_process::may_log_server_change()
{
    return ++server_changes_ <= max_logged_server_changes;
}

void entry_process::log_further_server_changes()
{
    const std::size_t changes = std::exchange(server_changes_, 0);
    if (changes > max_logged_server_changes)
        log_event(
            log_level::info,
            component,
            "further_server_changes",
            {{"count", changes - max_logged_server_changes}});
}

// Connections, failures and generations belong to the server's previous
// process. Reservations end with the streams that hold them: each stream still
// waits for its own connection to report how it ended.
void entry_process::on_server_restarted(
    const placement::server_id& server,
    const http::endpoint& address,
    std::string_view source)
{
    log_event(
        log_level::info,
        component,
        "server_restarted",
        {{"server", server}, {"source", source}});
    context_.connections->forget(address);
    context_.health.forget(server);
    context_.health.end_requested_backoff(server);
    forget_limit(server);
    context_.streams.notify_restarted(server);
}

void entry_process::forget_limit(const placement::server_id& server)
{
    context_.limits.forget(server);
    context_.servers_with_invalid_limit.erase(server);
    context_.loads.forget(server);
    context_.servers_with_invalid_load.erase(server);
}

void entry_process::confirm_server(const placement::server_id& server)
{
    context_.directory.confirm(server);
}

void entry_process::remove_server(
    const placement::server_id& server, std::string_view source)
{
    const core::time_point now = core::monotonic_now();
    const auto change =
        context_.directory.remove(server, outage_.state_at(now), now);
    if (change == placement::directory_change::left)
        on_server_draining(server, source);
}

// Neighbours are told directly: the record of the server may change late, or
// not at all while the store is unavailable.
void entry_process::on_server_leaving(
    const placement::backend_server& server, std::string_view source)
{
    const auto change = context_.directory.announce_leaving(
        server.id, server.start, core::monotonic_now());
    if (change != placement::directory_change::left)
        return;
    on_server_draining(server.id, source);
    neighbours_->broadcast(wire::server_sign{
        core::server_address(server.address.to_string()),
        wire::sign_kind::leaving,
        0,
        server.start.unix_ms});
}

void entry_process::on_server_draining(
    const placement::server_id& server, std::string_view source)
{
    if (may_log_server_change())
        log_event(
            log_level::info,
            component,
            "server_left",
            {{"server", server}, {"source", source}});
    // The change is sent at once, because the server gives short notice.
    queue_server_change(server, source);
    schedule_change_broadcast();
    context_.health.forget(server);
    forget_limit(server);
    context_.cold_servers.forget(server);
    context_.streams.notify_draining(server);
}

void entry_process::mark_servers_known(std::string_view source)
{
    if (std::exchange(has_servers_, true))
        return;
    neighbours_->broadcast(server_list_offer());
    log_event(
        log_level::info,
        component,
        "servers_known",
        {{"count", context_.directory.size()},
         {"first", join_first_ids(context_.directory.ids())},
         {"source", source}});
}

} // namespace godwit::entry
