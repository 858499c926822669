#pragma once

#include <godwit/admission/load_shedder.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/dissemination/relayed_sources.hpp>
#include <godwit/dissemination/report_pacer.hpp>
#include <godwit/entry/call_dispatcher.hpp>
#include <godwit/entry/cell_load_reporter.hpp>
#include <godwit/entry/change_audience.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/entry_settings.hpp>
#include <godwit/entry/host_cell.hpp>
#include <godwit/entry/load_statement_exchange.hpp>
#include <godwit/entry/neighbour_links.hpp>
#include <godwit/entry/report_poller.hpp>
#include <godwit/entry/server_list_outage.hpp>
#include <godwit/entry/server_list_readers.hpp>
#include <godwit/entry/source_refresh.hpp>
#include <godwit/entry/table_fetch_scheduler.hpp>
#include <godwit/entry/table_history.hpp>
#include <godwit/entry/table_loader.hpp>
#include <godwit/entry/table_request_queue.hpp>
#include <godwit/entry/tunnel_server.hpp>
#include <godwit/entry/wire_codec.hpp>
#include <godwit/entry/withheld_changes.hpp>
#include <godwit/http/server.hpp>
#include <godwit/placement/server_directory.hpp>
#include <godwit/placement/server_list_comparison.hpp>
#include <godwit/rollout/completion_check.hpp>
#include <godwit/rollout/version_capacity.hpp>
#include <godwit/routing/route_table.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::entry {

/// The process of an entry host: its listeners, its links to other hosts, the
/// state that its requests share, and its shutdown. Everything runs on the one
/// thread of `io`: the share of a core that such a host has leaves nothing for
/// a second thread to do.
class entry_process
{
public:
    /// Binds every listener. Fails with `unavailable` when one cannot be
    /// bound.
    [[nodiscard]] static core::result<std::unique_ptr<entry_process>> create(
        boost::asio::io_context& io,
        entry_settings settings,
        const codec_functions& codec);

    entry_process(const entry_process&) = delete;
    entry_process& operator=(const entry_process&) = delete;

    /// Starts to wait for signals and starts the periodic tick.
    void start();

    /// Reads the settings again. Called on SIGHUP and periodically.
    using settings_reader = std::function<core::result<entry_settings>()>;

    /// Sets the reader. Has to be called before `start`.
    void set_settings_reader(settings_reader reader);

    /// Reads the settings again and applies those that a running process can
    /// change. A file that cannot be read is logged, and the last valid
    /// settings stay.
    void reload();

    /// Parses a version of the route table and activates it, unless this or a
    /// newer version is active: a process never goes back to an older one.
    /// Parameters `source` of this class are the origin of a change, for the
    /// log. A table that cannot be parsed is logged, and the active one stays.
    void load_table(const std::string& text, std::string_view source);

    void add_or_update_server(
        const placement::backend_server& server, std::string_view source);

    /// Records that the store's server list still has the server, possibly
    /// without changes.
    void confirm_server(const placement::server_id& server);

    void
    remove_server(const placement::server_id& server, std::string_view source);

    /// Sets whether this host can read the server list from the store. While it
    /// can, a neighbour whose link opens receives the list, and neighbours'
    /// reports that are no newer than what was read are ignored.
    void set_server_list_current(bool is_current);

    /// Records that a read of the server list that began at `began_at` failed.
    void record_failed_list_read(core::time_point began_at)
    {
        outage_.record_failed_read(began_at);
    }

    /// Records that the server list was read from the store just now.
    void record_list_read();

    /// Records that this host begins to read the whole server list for the
    /// first time. If no other host of its cell reads it, the others need not
    /// begin as well: a long list takes seconds.
    void announce_list_read();

    /// Records that this host has read and applied everything before `position`
    /// of the topic.
    void record_source_read(
        dissemination::source_topic topic,
        const dissemination::source_position& position);

    /// Records that this host cannot read the topic.
    void record_source_loss(dissemination::source_topic topic)
    {
        sources_.record_loss(topic);
    }

    /// Returns where other entry hosts open tunnels to backend servers.
    [[nodiscard]] const http::endpoint& tunnel_address() const noexcept
    {
        return tunnels_->address();
    }

    /// Returns the position of the topic up to which this host knows
    /// everything, by itself or from other hosts.
    [[nodiscard]] const std::optional<dissemination::source_position>&
    source_position(dissemination::source_topic topic) const
    {
        return sources_.position(topic);
    }

    /// Forgets what other hosts have read, which after a suspension may be
    /// outdated.
    void forget_source_positions() { sources_.clear(); }

    /// Records that the newest route table was read from the store.
    void record_table_source_read() { refresh_.record_table_read(); }

    /// Records that the full server list was read from the store.
    void record_full_list_read() { refresh_.record_server_list_read(); }

    /// Records that the store restarted from an older copy of the server list:
    /// servers that are missing from the copy stay in use for as long as they
    /// may register again.
    void record_source_restore();

    /// Records that the first full server list is known, from the store or from
    /// a neighbour. `source` is logged as the origin of the list.
    void mark_servers_known(std::string_view source);

    /// Returns whether this host should poll the server list at the short
    /// interval and broadcast changes to the other hosts. One such host is
    /// enough, and each read has its cost.
    [[nodiscard]] bool is_primary_list_reader() const;

    /// Returns whether this host may rely on another host of its cell to read
    /// the server list, whose messages reach this host at once. While this host
    /// reads it itself, the other reader has to precede it by name; otherwise
    /// any reader will do.
    [[nodiscard]] bool may_rely_on_other_readers() const;

    /// Returns whether this host is the first by name of its cell that reads
    /// the server list, in a fleet that is too large for each host to read it.
    [[nodiscard]] bool is_first_list_reader_of_cell() const;

    /// Returns whether this host may rely on other hosts of its cell to read
    /// the route table, whose versions reach this host as announcements.
    [[nodiscard]] bool may_rely_on_table_readers();

    /// Returns whether another host of the cell reads the list of hosts and has
    /// found nothing that this host has not read.
    [[nodiscard]] bool may_rely_on_host_readers() const;

    /// Returns the number of cells in the fleet, at least one.
    [[nodiscard]] std::size_t cell_count() const;

    /// Returns whether this host started a moment ago and lacks the server list
    /// or the route table, which a neighbour may still send.
    [[nodiscard]] bool is_awaiting_neighbours() const;

    /// Returns whether this host started a moment ago in a fleet with other
    /// hosts and may not have received their messages yet.
    [[nodiscard]] bool is_joining_fleet() const;

    /// Returns the number of hosts in this host's cell that precede it by name.
    [[nodiscard]] std::size_t rank_in_cell() const;

    /// Returns whether the fleet is too large for each host to call the store
    /// on its own.
    [[nodiscard]] bool is_large_fleet() const noexcept
    {
        return fleet_size_ > max_full_mesh_hosts;
    }

    /// Returns the number of known entry hosts.
    [[nodiscard]] std::size_t fleet_size() const noexcept
    {
        return fleet_size_;
    }

    /// Sets the entry hosts of the fleet.
    void set_hosts(const std::vector<known_host>& hosts);

    /// Adds a stored report of a request that crashed backend servers. `source`
    /// is logged as its origin.
    void add_crash_report(
        const admission::crash_report& report, std::string_view source);

    /// Clears the crashes of a request, which ends its quarantine.
    void clear_crashes(
        const admission::request_fingerprint& request, std::string_view source);

    /// Applies a change of a zone's evacuation that was read from the source.
    void update_evacuation(
        const placement::zone_evacuation& change, std::string_view source);

    /// Applies the source's complete list of evacuations as of `revision`.
    void apply_evacuations(
        const std::vector<placement::zone_evacuation>& listed,
        placement::evacuation_revision revision,
        std::string_view source);

    /// Applies a rollout that was read from the source.
    void update_rollout(
        const rollout::rollout_status& reported, std::string_view source);

    /// Applies that the operator withdrew an order.
    void withdraw_rollout(
        const core::service_name& service,
        const rollout::order_revision& revision,
        std::string_view source);

    /// Returns whether the rollout may be recorded as completed: its target
    /// serves every request, and no request is left at the former servers.
    [[nodiscard]] bool
    may_complete(const rollout::rollout_status& status) const;

    /// Returns whether the load balancer may send connections to this host.
    [[nodiscard]] bool is_ready() const noexcept;

    [[nodiscard]] entry_context& context() noexcept { return context_; }

private:
    entry_process(
        boost::asio::io_context& io,
        entry_settings settings,
        const codec_functions& codec);

    [[nodiscard]] core::result<void> listen();
    boost::asio::awaitable<void> answer_readiness(http::exchange& exchange);
    boost::asio::awaitable<void> answer_operator(http::exchange& exchange);
    [[nodiscard]] std::string state_text() const;
    void set_gauges();
    void wait_for_signal();
    void on_signal(int number);
    void apply_settings(const entry_settings& read);
    void begin_stop();
    void check_stop();
    void respond_to_all(core::time_point now);
    void end();
    void tick();
    [[nodiscard]] core::result<void> listen_for_tunnels();
    [[nodiscard]] tunnel_verdict judge_tunnel(const http::endpoint& to) const;
    void shed_load();
    void detect_stall();
    [[nodiscard]] bool is_refreshing();
    [[nodiscard]] bool may_have_stale_routes() const;
    void on_server_added(
        const placement::backend_server& server, std::string_view source);
    void on_server_leaving(
        const placement::backend_server& server, std::string_view source);
    void on_server_draining(
        const placement::server_id& server, std::string_view source);
    void on_server_restarted(
        const placement::server_id& server,
        const http::endpoint& address,
        std::string_view source);
    [[nodiscard]] bool may_log_server_change();
    void log_further_server_changes();
    void avoid_unresponsive_servers();
    void detect_slow_servers();
    void detect_slow_servers_of(
        const routing::service& service, core::time_point now);
    void poll_reports();
    void broadcast_load();
    void broadcast_load_statements();
    void schedule_load_broadcast();
    void broadcast_cell_load();
    [[nodiscard]] double load_report_rate() const;
    [[nodiscard]] std::vector<placement::server_work> significant_elsewhere(
        const std::vector<placement::server_work>& sums) const;
    [[nodiscard]] reader_role own_reader_role() const;
    [[nodiscard]] change_origin origin_of(std::string_view source) const;
    void queue_server_change(
        const placement::server_id& server, std::string_view source);
    void schedule_change_broadcast();
    void broadcast_changed_servers();
    void broadcast_withheld_changes();
    [[nodiscard]] bool tells_other_cells(const core::host_name& host) const;
    [[nodiscard]] wire::listed_servers
    servers_message(const std::set<placement::server_id>& ids) const;
    [[nodiscard]] wire::server_list_offer server_list_offer() const;
    void handle_server_list_offer(
        const core::host_name& host, const wire::server_list_offer& offer);
    void offer_server_list();
    [[nodiscard]] std::size_t permanent_readers_in_cell() const;
    /// Returns how many hosts of this host's cell read the list of servers.
    [[nodiscard]] std::size_t list_readers_in_cell() const;
    void on_neighbour_lost(const core::host_name& host);
    [[nodiscard]] dissemination::known_contents known_contents() const;
    [[nodiscard]] std::optional<dissemination::source_position>
    server_list_position() const;
    void broadcast_source_positions();
    void handle_source_positions(
        const core::host_name& host, const wire::source_positions& message);
    void
    reject_server_list(const core::host_name& host, std::string_view cause);
    void request_server_list();
    void serve_server_lists();
    void
    send_server_list(wire::link& to, const wire::server_list_request& wanted);
    [[nodiscard]] const std::vector<wire::server_list_part>&
    whole_server_list();
    [[nodiscard]] std::vector<wire::server_list_part> encode_server_list(
        const placement::server_list_digest::bucket_set& buckets) const;
    void handle_server_list_part(
        const core::host_name& host, const wire::server_list_part& part);
    [[nodiscard]] wire::listed_server
    server_entry(const placement::server_id& id) const;
    [[nodiscard]] wire::host_work load_message() const;
    [[nodiscard]] std::vector<wire::message>
    initial_messages(const wire::hello& peer) const;
    void handle_message(
        const std::shared_ptr<wire::link>& from, wire::message message);
    void
    handle_table_version(const core::host_name& host, std::uint64_t version);
    /// Handles a neighbour's request for the route table, a `wire::pull`.
    void handle_table_request(
        const std::shared_ptr<wire::link>& from, const wire::pull& request);
    void request_table();
    void serve_table_requests();
    void handle_table(
        const core::host_name& host, const wire::table_document& message);
    void answer_table_request(wire::link& to, const wire::pull& request);
    void send_table(wire::link& to, wire::message table, std::size_t bytes);
    void handle_table_changes(
        const core::host_name& host, const wire::table_changes& message);
    void reject_changes(
        const core::host_name& host,
        std::uint64_t version,
        const core::error& why);
    [[nodiscard]] bool has_version(std::uint64_t version) const;
    void discard_known_table(
        const core::host_name& host, std::uint64_t version, std::size_t bytes);
    [[nodiscard]] bool is_new_table(const received_table& table) const;
    void on_table_parsed(
        received_table table,
        const core::result<std::shared_ptr<const routing::route_table>>&
            routes);
    void activate_table(
        const std::shared_ptr<const routing::route_table>& routes,
        received_table table);
    void log_known_version(
        std::uint64_t version,
        std::string_view source,
        std::size_t bytes) const;
    void add_to_history(received_table table);
    void apply_caller_limits(const routing::caller_limits& limits);
    void handle_changed_servers(
        const wire::hello& peer, const wire::listed_servers& message);
    void handle_servers(
        const core::host_name& host, const wire::listed_servers& message);
    /// Handles a neighbour's notice about a server, a `wire::server_sign`.
    void handle_server_notice(
        const core::host_name& host, const wire::server_sign& message);
    void handle_link_claim(
        const core::host_name& host, const wire::link_claim& message);
    void
    handle_host_load(const wire::hello& peer, const wire::host_work& message);
    void handle_cell_load(
        const core::host_name& host, const wire::cell_work& message);
    void broadcast_limit(const placement::server_limit& limit, unsigned sends);
    [[nodiscard]] wire::server_limits limits_message() const;
    void handle_limits(
        const core::host_name& host, const wire::server_limits& message);
    void reject_limits(const core::host_name& host, const core::error& why);
    void update_limit_share();
    void
    broadcast_cold_server(const placement::server_id& server, unsigned sends);
    void handle_cold_servers(
        const core::host_name& host, const wire::cold_servers& message);
    void presume_cold_zone(const core::zone_name& zone);
    void on_evacuations_changed(
        const std::vector<placement::zone_evacuation>& changes,
        std::string_view source);
    void expire_evacuations();
    void handle_evacuations(
        const core::host_name& host, const wire::zone_evacuations& message);
    void
    publish_rollout(const core::service_name& service, std::string_view source);
    void request_rollout_record(const core::service_name& service);
    void handle_rollouts(
        const core::host_name& host, const wire::rollout_reports& message);
    void handle_rollout_responses(
        const core::host_name& host, const wire::rollout_responses& message);
    [[nodiscard]] bool has_fleet_reports() const;
    void advance_rollouts();
    void on_rolled_back(const rollout::rollback& ended);
    void broadcast_responses();
    [[nodiscard]] rollout::version_capacity
    capacity_of(const rollout::rollout_status& status) const;
    void check_completion(const rollout::rollout_status& status);
    void forget_limit(const placement::server_id& server);
    [[nodiscard]] std::size_t host_rank(std::string_view key) const;
    [[nodiscard]] wire::crash_reports crash_reports_message() const;
    void handle_crash_reports(
        const core::host_name& host, const wire::crash_reports& message);
    void clear_sound_parts(wire::crash_reports& changes);
    void
    reject_crash_reports(const core::host_name& host, const core::error& why);
    [[nodiscard]] std::vector<placement::server_work> valid_load(
        const core::host_name& host,
        const std::vector<wire::server_work>& loads);
    void update_list_readers(
        const core::host_name& host, const wire::host_work& message);

    boost::asio::io_context& io_;
    entry_context context_;
    call_dispatcher calls_;
    std::unique_ptr<http::server> callers_;
    std::unique_ptr<http::server> readiness_;
    std::unique_ptr<http::server> operators_;
    boost::asio::signal_set signals_;
    core::timer tick_timer_;
    core::timer stop_timer_;
    admission::load_shedder shedder_;
    core::time_point started_at_{};
    core::time_point last_tick_at_{};
    source_refresh refresh_;
    bool has_received_version_ = false; ///< Of the route table, from any host.
    /// When the last responses were ordered; the epoch before that.
    core::time_point responding_since_{};
    std::unique_ptr<neighbour_links> neighbours_;
    std::unique_ptr<tunnel_server> tunnels_;
    settings_reader read_settings_;
    /// As read from the file.
    std::optional<entry_settings> last_read_settings_;
    core::time_point reloaded_at_{};
    table_history tables_;
    table_fetch_scheduler table_fetches_;
    table_loader loader_;
    table_request_queue<wire::link, wire::pull> table_requests_;
    server_list_readers readers_;
    placement::server_list_comparison list_comparison_;
    table_request_queue<wire::link, wire::server_list_request>
        server_list_requests_;
    /// The whole list as it was last sent, and its digest.
    std::vector<wire::server_list_part> whole_list_;
    placement::server_list_digest whole_list_digest_;
    bool is_fetching_first_list_ = false;
    dissemination::relayed_sources sources_;
    core::time_point source_positions_sent_at_{};
    wire::host_work last_sent_load_;
    core::time_point load_sent_at_{};
    dissemination::report_pacer load_pacer_;
    dissemination::report_pacer cell_load_pacer_;
    load_statement_exchange load_statements_;
    cell_load_reporter load_reporter_;        ///< To other cells in the zone.
    cell_load_reporter remote_load_reporter_; ///< To other zones.
    core::time_point cell_load_sent_at_{};
    core::time_point reader_state_sent_at_{};
    report_poller reports_;
    core::time_point polled_at_{};
    server_list_outage outage_;
    /// Servers whose changes were not sent yet, by recipients.
    std::map<audience, std::set<placement::server_id>> unsent_servers_;
    withheld_changes withheld_changes_; ///< From other cells.
    std::size_t server_changes_ = 0;    ///< In this tick.
    core::time_point slow_servers_checked_at_{};
    std::set<core::host_name> invalid_gaps_from_; ///< Hosts that were logged.
    /// Hosts whose malformed crash reports were logged.
    std::set<core::host_name> malformed_crash_reports_from_;
    /// Hosts whose malformed limits were logged.
    std::set<core::host_name> malformed_limits_from_;
    /// Hosts whose malformed server lists were logged.
    std::set<core::host_name> malformed_lists_from_;
    core::time_point rollouts_judged_at_{};
    core::time_point responses_sent_at_{};
    rollout::completion_check completion_check_;
    std::set<core::host_name> fleet_hosts_;
    std::size_t fleet_size_ = 1;
    bool is_fleet_known_ = false;
    bool is_load_broadcast_scheduled_ = false;
    bool is_change_broadcast_scheduled_ = false;
    bool has_servers_ = false;
    bool was_ready_ = false;
};

} // namespace godwit::entry
