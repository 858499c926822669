#pragma once

#include <godwit/admission/hedging_policy.hpp>
#include <godwit/admission/link_meter.hpp>
#include <godwit/admission/recent_prompts.hpp>
#include <godwit/admission/request_quarantine.hpp>
#include <godwit/admission/shutdown_schedule.hpp>
#include <godwit/dissemination/source_position.hpp>
#include <godwit/entry/call_registry.hpp>
#include <godwit/entry/entry_settings.hpp>
#include <godwit/entry/generation_statistics.hpp>
#include <godwit/entry/link_claims.hpp>
#include <godwit/entry/retry_budgets.hpp>
#include <godwit/entry/server_connector.hpp>
#include <godwit/entry/stream_registry.hpp>
#include <godwit/entry/wait_queue.hpp>
#include <godwit/entry/wire_codec.hpp>
#include <godwit/http/connection_pool.hpp>
#include <godwit/memory/client_account.hpp>
#include <godwit/placement/cold_servers.hpp>
#include <godwit/placement/copy_queue.hpp>
#include <godwit/placement/load_ledger.hpp>
#include <godwit/placement/placer.hpp>
#include <godwit/placement/reported_loads.hpp>
#include <godwit/placement/server_directory.hpp>
#include <godwit/placement/server_health.hpp>
#include <godwit/placement/server_limits.hpp>
#include <godwit/placement/slow_server_detector.hpp>
#include <godwit/placement/zone_evacuations.hpp>
#include <godwit/rollout/rollouts.hpp>
#include <godwit/routing/route_table.hpp>
#include <godwit/telemetry/metrics.hpp>

#include <godwit/wire/message.hpp>

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace godwit::entry {

/// Runs lost at a server, kept until a probe shows whether the server
/// crashed.
struct crash_probe
{
    std::vector<admission::crash_report> reports;
    /// Parts of prompts whose runs at the server were too far to crash it.
    std::set<admission::request_fingerprint> sustained_parts;

    void add(const crash_probe& other);
};

/// State shared by all requests of one entry host. Used on one executor, so
/// that it needs no lock.
class entry_context
{
public:
    entry_context(
        const boost::asio::any_io_executor& executor,
        entry_settings settings,
        const codec_functions& codec);

    entry_context(const entry_context&) = delete;
    entry_context& operator=(const entry_context&) = delete;

    /// Records that a request got no connection to the server, no response or
    /// an incomplete one.
    void record_unreachable(const placement::server_id& server);

    [[nodiscard]] bool is_stopping() const noexcept
    {
        return shutdown.has_value();
    }

    /// Applies the capacity of the network link in `settings`.
    void set_link_capacity();

    const boost::asio::any_io_executor executor;
    /// Changes only when the process reloads a changed settings file.
    entry_settings settings;
    const codec_functions codec;
    /// Null until the first version is received.
    std::shared_ptr<const routing::route_table> routes;
    placement::server_directory directory;
    placement::load_ledger ledger;
    placement::server_health health;
    placement::slow_server_detector slow_servers;
    placement::server_limits limits;
    placement::cold_servers cold_servers;
    placement::zone_evacuations evacuations;
    placement::reported_loads loads;
    /// Servers whose invalid request limits were already logged.
    std::set<placement::server_id> servers_with_invalid_limit;
    /// Servers whose malformed load statements were already logged.
    std::set<placement::server_id> servers_with_invalid_load;
    admission::hedging_policy hedging;
    rollout::rollouts rollouts;
    /// When each server was last counted to have lost its runs.
    std::map<placement::server_id, core::time_point> counted_losses;
    placement::placer placer;
    admission::request_quarantine quarantine;
    admission::recent_prompts completed_prompts;
    std::map<placement::server_id, std::shared_ptr<crash_probe>> crash_probes;
    admission::link_meter link; ///< What callers' requests use of it.
    /// What clients make this host hold: their connections, requests,
    /// responses and tunnels.
    const std::shared_ptr<memory::client_account> account;
    retry_budgets budgets;
    wait_queue queue;
    call_registry calls;
    stream_registry streams;
    /// Claims of other hosts to the network links of backend servers, which
    /// migrations copy over; not about the links between neighbour hosts.
    link_claims claims;
    placement::copy_queue copy_queue;
    /// Sends a message to all neighbours; set by the process.
    std::function<void(const wire::message&)> broadcast;
    /// Called on each crash recorded by this host after which the request is
    /// quarantined, unless a neighbour or the store reported the crash; set by
    /// the platform, which writes it to the store.
    std::function<void(const admission::crash_report&)> on_quarantined;
    /// Called on each host when the crashes of a request are cleared that had
    /// enough of them for a quarantine; set by the platform, as
    /// `on_quarantined` is.
    std::function<void(const admission::request_fingerprint&)>
        on_quarantine_lifted;
    /// Sends a changed limit, or the number of requests sent to a limited
    /// server, to the neighbours; set by the process.
    std::function<void(const placement::server_limit&, unsigned)>
        broadcast_limit;
    /// Sends the number of requests sent to a cold server, or that a server is
    /// cold, to the neighbours; set by the process.
    std::function<void(const placement::server_id&, unsigned)>
        broadcast_cold_server;
    /// Returns this host's zero-based rank among the hosts of the fleet for
    /// `key`, by rendezvous hashing; set by the process.
    std::function<std::size_t(std::string_view key)> host_rank;
    /// Whether this host receives reports of the other hosts' responses; set by
    /// the process.
    std::function<bool()> has_fleet_reports;
    /// Called when the state of a rollout has to be recorded at its source; set
    /// by the platform.
    std::function<void(const rollout::rollout_status&)> on_rollout_changed;
    /// Called repeatedly while a rollout may be recorded as completed; set by
    /// the platform.
    std::function<void(const rollout::rollout_status&)> on_rollout_completable;
    /// Called when a server's response says that the server leaves; set by the
    /// process.
    std::function<void(const placement::backend_server&)> on_server_leaving;
    /// Called when work was added at a server; set by the process.
    std::function<void()> on_work_added;
    /// Called when the host runs again after it was suspended; set by the
    /// platform, which then reads the route table, the server list and the
    /// host records again.
    std::function<void()> on_resumed;
    /// Called when another host brought a change of this topic; set by the
    /// platform.
    std::function<void(dissemination::source_topic)> on_relayed_change;
    /// Whether the host resumed after a suspension and has not read the route
    /// table and the server list again since; false after
    /// `source_refresh::max_duration`; set by the process.
    std::function<bool()> is_refreshing;
    /// Whether a neighbour may have a newer version of the route table; set by
    /// the process.
    std::function<bool()> may_have_stale_routes;
    server_connector connector;
    std::unique_ptr<http::connection_pool> connections;
    std::unique_ptr<telemetry::metrics> metrics;
    generation_statistics statistics;
    /// Set when the host is told to stop.
    std::optional<admission::shutdown_schedule> shutdown;
};

} // namespace godwit::entry
