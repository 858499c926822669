#include <godwit/entry/entry_process.hpp>

#include <godwit/telemetry/log.hpp>
#include <godwit/telemetry/log_client_eviction.hpp>
#include <godwit/telemetry/log_connection_fault.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <utility>

namespace godwit::entry {

namespace asio = boost::asio;
using telemetry::log_connection_fault;
using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";
// How often waiting requests are retried and expired servers are removed.
constexpr core::duration tick_interval = std::chrono::milliseconds(50);
// Shortest interval between two ticks that counts as a stall and is logged: the
// process was suspended, stopped or starved of CPU time.
constexpr core::duration stall_threshold = std::chrono::seconds(1);
// How long a host that joins a fleet waits for the first message of another
// host.
constexpr core::duration first_message_timeout = std::chrono::seconds(1);
// Interval between polls while the server list cannot be read. A server gives
// about two seconds of notice before it ends, of which the copies of its KV
// caches need one, so that the poll has to find the notice within the other.
constexpr core::duration outage_poll_interval = std::chrono::milliseconds(250);
// Time without events after which a server counts as unresponsive. Events of a
// stream arrive some 30 ms apart; a batch that prefills several prompts at once
// is slower by a factor of five.
constexpr core::duration unresponsive_threshold =
    std::chrono::milliseconds(700);
// Interval between polls while the server list can be read. It is longer than
// the one during an outage, since each poll has its cost, but within the second
// that is left of a server's notice of about two seconds, of which the copies
// need one.
constexpr core::duration regular_poll_interval = std::chrono::milliseconds(600);
// Interval at which the settings file is read again, because it may change
// without a signal.
constexpr core::duration reload_interval = std::chrono::seconds(5);
// The limits in the route table are set by its operator; a buffer of this size
// for each connection is the most that fits into the memory of a small host.
constexpr std::size_t max_header_bytes = std::size_t{256} * 1024;
// More than any host has memory for.
constexpr std::size_t max_body_bytes = std::size_t{64} * 1024 * 1024;

http::server_limits
clamp_limits(const routing::caller_limits& limits, std::size_t connections)
{
    http::server_limits clamped;
    clamped.header_bytes = std::min(limits.header_bytes, max_header_bytes);
    clamped.body_bytes = std::min(limits.body_bytes, max_body_bytes);
    clamped.header_timeout = limits.header_timeout;
    clamped.idle_timeout = limits.idle_timeout;
    clamped.connections = connections;
    return clamped;
}

http::response reject(const http::rejection& why)
{
    log_event(
        log_level::info,
        component,
        "rejected",
        {{"reason", http::to_string(why.reason)}, {"status", why.status}});
    return make_rejection_response(why);
}

} // namespace

core::result<std::unique_ptr<entry_process>> entry_process::create(
    asio::io_context& io, entry_settings settings, const codec_functions& codec)
{
    std::unique_ptr<entry_process> process(
        new entry_process(io, std::move(settings), codec));
    const auto listening = process->listen();
    if (!listening)
        return tl::unexpected(listening.error());
    return process;
}

entry_process::entry_process(
    asio::io_context& io, entry_settings settings, const codec_functions& codec)
    : io_(io), context_(io.get_executor(), std::move(settings), codec),
      calls_(context_), signals_(io), tick_timer_(io), stop_timer_(io),
      table_fetches_(context_.settings.host),
      loader_(
          io.get_executor(),
          table_loader::handlers{
              context_.codec.make_table_parser,
              [this](const received_table& table) {
                  return is_new_table(table);
              },
              [this](received_table table, const auto& routes) {
                  on_table_parsed(std::move(table), routes);
              }}),
      readers_(context_.settings.host),
      list_comparison_(context_.settings.host), load_statements_(context_),
      reports_(context_, [this](const placement::backend_server& server) {
          on_server_leaving(server, "report");
      })
{}

core::result<void> entry_process::listen()
{
    context_.account->observe(&telemetry::log_client_eviction);
    http::server_settings callers{
        .address = context_.settings.callers,
        .limits = clamp_limits(
            routing::caller_limits(), context_.settings.caller_connections),
        .on_rejection = &reject,
        .on_fault = &log_connection_fault,
        .account = context_.account};
    callers_ = GODWIT_TRY(http::server::create(
        io_,
        std::move(callers),
        [this](http::exchange& caller) -> asio::awaitable<void> {
            co_await calls_.serve(caller);
        }));
    readiness_ = GODWIT_TRY(http::server::create(
        io_,
        http::server_settings{
            context_.settings.readiness, {}, {}, &log_connection_fault},
        [this](http::exchange& exchange) -> asio::awaitable<void> {
            co_await answer_readiness(exchange);
        }));
    operators_ = GODWIT_TRY(http::server::create(
        io_,
        http::server_settings{
            context_.settings.operators, {}, {}, &log_connection_fault},
        [this](http::exchange& exchange) -> asio::awaitable<void> {
            co_await answer_operator(exchange);
        }));
    neighbours_ = GODWIT_TRY(neighbour_links::create(
        io_.get_executor(),
        context_.settings,
        neighbour_handlers{
            [this](const wire::hello& peer) { return initial_messages(peer); },
            [this](
                const std::shared_ptr<wire::link>& from,
                wire::message message) {
                handle_message(from, std::move(message));
            },
            [this](const core::host_name& host) {
                on_neighbour_lost(host);
            }}));
    return listen_for_tunnels();
}

core::result<void> entry_process::listen_for_tunnels()
{
    const auto& settings = context_.settings;
    tunnels_ = GODWIT_TRY(tunnel_server::create(
        io_.get_executor(),
        settings.tunnels.value_or(settings.neighbours.with_port(0)),
        tunnel_server::handlers{
            [this](const http::endpoint& server) {
                return judge_tunnel(server);
            },
            [this](const http::endpoint& server) {
                context_.connector.record_connect_failure(server);
            }},
        context_.account));
    neighbours_->set_tunnel_address(tunnels_->address());
    context_.connector.set_proxies(
        [this] { return neighbours_->tunnel_proxies(); });
    return {};
}

tunnel_verdict entry_process::judge_tunnel(const http::endpoint& to) const
{
    if (context_.is_stopping() || context_.connector.needs_detour(to))
        return tunnel_verdict::unavailable;
    const placement::backend_server* server = context_.directory.find_at(to);
    if (server == nullptr)
        return tunnel_verdict::unknown_server;
    // To the server, what comes through a tunnel comes from this host.
    return context_.health.has_requested_backoff(
               server->id, core::monotonic_now())
               ? tunnel_verdict::unavailable
               : tunnel_verdict::allowed;
}

void entry_process::start()
{
    boost::system::error_code ignored;
    signals_.add(SIGTERM, ignored);
    signals_.add(SIGINT, ignored);
    signals_.add(SIGHUP, ignored);
    wait_for_signal();
    context_.broadcast = [this](const wire::message& message) {
        neighbours_->broadcast(message);
    };
    // Streams react to a leaving server, and one of them may be reading the
    // response.
    context_.on_server_leaving =
        [this](const placement::backend_server& server) {
            asio::post(
                io_, [this, server] { on_server_leaving(server, "response"); });
        };
    context_.on_work_added = [this] {
        schedule_load_broadcast();
    };
    context_.host_rank = [this](std::string_view key) {
        return host_rank(key);
    };
    context_.broadcast_limit =
        [this](const placement::server_limit& limit, unsigned sends) {
            broadcast_limit(limit, sends);
        };
    context_.broadcast_cold_server =
        [this](const placement::server_id& server, unsigned sends) {
            broadcast_cold_server(server, sends);
        };
    context_.is_refreshing = [this] {
        return is_refreshing();
    };
    context_.has_fleet_reports = [this] {
        return has_fleet_reports();
    };
    context_.may_have_stale_routes = [this] {
        return may_have_stale_routes();
    };
    tunnels_->start();
    neighbours_->start();
    started_at_ = core::monotonic_now();
    last_tick_at_ = started_at_;
    tick();
    log_event(
        log_level::info,
        component,
        "start",
        {{"callers", context_.settings.callers.to_string()},
         {"operators", context_.settings.operators.to_string()}});
}

bool entry_process::is_ready() const noexcept
{
    return context_.routes && has_servers_ && !context_.is_stopping() &&
           shedder_.is_ready(core::monotonic_now());
}

void entry_process::apply_caller_limits(const routing::caller_limits& limits)
{
    callers_->set_limits(
        clamp_limits(limits, context_.settings.caller_connections));
}

void entry_process::set_server_list_current(bool is_current)
{
    const core::time_point now = core::monotonic_now();
    outage_.set_current(is_current, now);
    if (!is_current)
        readers_.clear_own_read();
    const bool is_steady =
        outage_.state_at(now) == placement::source_state::steady;
    log_event(
        log_level::info,
        component,
        "server_list",
        {{"current", is_current}, {"steady", is_steady}});
}

void entry_process::record_list_read()
{
    readers_.record_own_read(core::monotonic_now());
}

void entry_process::announce_list_read()
{
    const core::time_point now = core::monotonic_now();
    if (readers_.serving(neighbours_->cell_peers(), now) == 0)
        readers_.record_own_read(now);
}

void entry_process::record_source_restore()
{
    outage_.record_restore(core::monotonic_now());
}

void entry_process::set_hosts(const std::vector<known_host>& hosts)
{
    context_.budgets.set_host_count(hosts.size());
    fleet_size_ = hosts.size();
    fleet_hosts_.clear();
    for (const known_host& host : hosts)
        fleet_hosts_.insert(host.name);
    is_fleet_known_ = true;
    neighbours_->set_hosts(hosts);
    // Hosts that join may split a cell. The load of those that are now in
    // another cell would count twice, once with that cell's sums, and engines
    // with free capacity would look full.
    if (!neighbours_->cell().empty())
        context_.ledger.retain_neighbours(neighbours_->cell_peers());
    const auto is_unknown = [&hosts](const core::host_name& host) {
        return std::none_of(
            hosts.begin(), hosts.end(), [&host](const known_host& known) {
                return known.name == host;
            });
    };
    std::erase_if(invalid_gaps_from_, is_unknown);
    std::erase_if(malformed_crash_reports_from_, is_unknown);
    std::erase_if(malformed_limits_from_, is_unknown);
    std::erase_if(malformed_lists_from_, is_unknown);
}

// Avoids servers that hang: new requests there would be lost together with the
// requests that run there already.
void entry_process::avoid_unresponsive_servers()
{
    const core::time_point now = core::monotonic_now();
    for (const auto& id :
         context_.streams.unresponsive_servers(unresponsive_threshold, now)) {
        if (context_.health.is_avoided(id, now))
            continue;
        context_.record_unreachable(id);
        log_event(
            log_level::info, component, "server_silent", {{"server", id}});
    }
}

// The list's source sends data only when an entry changes, so that a source
// that is stuck cannot be told from one without changes: hosts poll the servers
// that run their streams, each of which is polled by one host. While no host in
// the cell can read the list, each host polls for itself, at the shorter
// interval.
void entry_process::poll_reports()
{
    const core::time_point now = core::monotonic_now();
    const bool is_informed =
        outage_.is_current() || may_rely_on_other_readers();
    if (now - polled_at_ <
        (is_informed ? regular_poll_interval : outage_poll_interval))
        return;
    polled_at_ = now;
    if (is_informed)
        reports_.poll_own_share(neighbours_->cell(), now);
    else
        reports_.poll_servers_in_use();
}

// Detects that the process did not run for a while. Nothing has to be expired
// here: the clock and the timers include the time of the stall, so that
// whatever ran out during it expires as usual. The updates of the route table
// and of the server list from that time are still to be read, which starts a
// refresh.
void entry_process::detect_stall()
{
    const core::time_point now = core::monotonic_now();
    const core::duration elapsed = now - last_tick_at_;
    if (elapsed < stall_threshold)
        return;
    last_tick_at_ = now;
    context_.loads.clear(now);
    log_event(
        log_level::warning,
        component,
        "process_stalled",
        {{"stalled_ms",
          std::chrono::duration_cast<std::chrono::milliseconds>(elapsed)
              .count()}});
    if (!context_.on_resumed)
        return;
    refresh_.begin(now);
    context_.on_resumed();
}

// Called before a request is routed: its bytes may arrive before the first tick
// after a suspension.
bool entry_process::is_refreshing()
{
    detect_stall();
    return refresh_.is_pending(loader_.is_busy(), core::monotonic_now());
}

// Returns whether a newer route table than the active one may exist. A
// host that starts reads the table from its source first; a source that was
// restored may have an older version than the neighbours, so that the host
// waits for their first messages.
bool entry_process::may_have_stale_routes() const
{
    const bool may_receive_one =
        is_joining_fleet() && !has_received_version_ &&
        core::monotonic_now() - started_at_ < first_message_timeout;
    return may_receive_one || table_fetches_.knows_newer_version() ||
           loader_.is_busy();
}

void entry_process::broadcast_load_statements()
{
    const auto message = load_statements_.next(core::monotonic_now());
    if (message)
        neighbours_->broadcast(*message, audience::cell);
}

void entry_process::tick()
{
    detect_stall();
    last_tick_at_ = core::monotonic_now();
    for (const auto& expired : context_.directory.expire(core::monotonic_now()))
        on_server_draining(expired, "lapsed");
    context_.quarantine.expire(core::monotonic_now());
    expire_evacuations();
    advance_rollouts();
    context_.cold_servers.expire(core::monotonic_now());
    update_limit_share();
    shed_load();
    context_.queue.wake_first();
    broadcast_changed_servers();
    broadcast_withheld_changes();
    log_further_server_changes();
    broadcast_load();
    broadcast_cell_load();
    broadcast_load_statements();
    request_table();
    serve_table_requests();
    readers_.observe(
        neighbours_->cell_peers(),
        list_readers_in_cell(),
        is_awaiting_neighbours(),
        core::monotonic_now());
    offer_server_list();
    request_server_list();
    serve_server_lists();
    broadcast_source_positions();
    if (const auto sums =
            context_.statistics.tick(context_.routes, core::monotonic_now()))
        neighbours_->broadcast(*sums, audience::cell);
    neighbours_->log_traffic(core::monotonic_now());
    avoid_unresponsive_servers();
    context_.connector.tick();
    detect_slow_servers();
    poll_reports();
    if (core::monotonic_now() - reloaded_at_ >= reload_interval)
        reload();
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait([this](const auto& failure) {
        if (!failure)
            tick();
    });
}

} // namespace godwit::entry
