#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/entry/call_dispatcher.hpp>
#include <godwit/entry/cell_load_reporter.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/entry_settings.hpp>
#include <godwit/entry/host_cell.hpp>
#include <godwit/entry/neighbour_links.hpp>
#include <godwit/entry/report_poller.hpp>
#include <godwit/entry/server_list_outage.hpp>
#include <godwit/entry/server_list_readers.hpp>
#include <godwit/entry/source_refresh.hpp>
#include <godwit/entry/table_fetch_scheduler.hpp>
#include <godwit/entry/table_history.hpp>
#include <godwit/entry/table_loader.hpp>
#include <godwit/entry/table_request_queue.hpp>
#include <godwit/entry/wire_codec.hpp>
#include <godwit/http/server.hpp>
#include <godwit/placement/server_directory.hpp>
#include <godwit/routing/route_table.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace godwit::entry {

/// The process of one entry host: its listeners, its beliefs, its end.
/// Everything runs on the one thread of `io`: the share of a core that such
/// a host has leaves nothing for a second one to do.
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

    /// Begins to wait for signals and to keep time.
    void start();

    /// How the settings are read again: when a signal says that they changed,
    /// and now and then without one.
    using settings_reader = std::function<core::result<entry_settings>()>;

    /// Sets the reader; before `start`.
    void set_settings_reader(settings_reader reader);

    /// Reads the settings again and takes over what a running process can.
    /// A file that cannot be read is logged, and the last good one stays.
    void reload();

    /// Reads a version and then puts it in force, unless a newer one already
    /// is: a process never goes back. `source` names who brought it, for the
    /// log. A table that cannot be read is logged, and the last good one stays.
    void load_table(const std::string& text, std::string_view source);

    void add_or_update_server(
        const placement::backend_server& server, std::string_view source);

    /// The source lists the server, though perhaps with nothing new.
    void confirm_server(const placement::server_id& server);

    void
    remove_server(const placement::server_id& server, std::string_view source);

    /// Whether the list of servers is being read at its source. While it is,
    /// neighbours are told, and what they say of servers is passed over.
    void set_server_list_current(bool is_current);

    /// The list of servers was read at its source just now.
    void record_list_read();

    /// The newest route table was read at its source.
    void record_table_source_read() { refresh_.record_table_read(); }

    /// The whole list of servers was read at its source.
    void record_full_list_read() { refresh_.record_server_list_read(); }

    /// The source restarted from an older copy of the list: servers that it
    /// lacks stay in use while they may list themselves again.
    void record_source_restore();

    /// The first whole list of servers was read, or a neighbour told it;
    /// `source` names who brought it, for the log.
    void mark_servers_known(std::string_view source);

    /// Whether this host should read the list of servers at a quick pace and
    /// tell the others; one of them is enough, and each read has its price.
    [[nodiscard]] bool is_primary_list_reader() const;

    /// Whether this host may leave the list to another one of its cell, whose
    /// word reaches it at once. While its own reads fail any reader will do;
    /// otherwise it is one before this host by name.
    [[nodiscard]] bool may_rely_on_other_readers() const;

    /// Whether this host started a moment ago beside others, whom it has yet
    /// to hear.
    [[nodiscard]] bool is_joining_fleet() const;

    /// How many hosts of the own cell come before this one by name.
    [[nodiscard]] std::size_t rank_in_cell() const;

    /// Whether the fleet is too large for each host to call the source on
    /// its own.
    [[nodiscard]] bool is_large_fleet() const noexcept
    {
        return fleet_size_ > max_full_mesh_hosts;
    }

    /// How many entry hosts are known.
    [[nodiscard]] std::size_t fleet_size() const noexcept
    {
        return fleet_size_;
    }

    /// The entry hosts of the fleet.
    void set_hosts(const std::vector<known_host>& hosts);

    /// Adds a stored report of a request that crashed backend servers. `source`
    /// is logged as its origin.
    void add_crash_report(
        const admission::crash_report& report, std::string_view source);

    /// Clears the crashes of a request, which ends its quarantine.
    void clear_crashes(
        const admission::request_fingerprint& request, std::string_view source);

    /// Whether the balancer may send connections here.
    [[nodiscard]] bool is_ready() const noexcept;

    [[nodiscard]] entry_context& context() noexcept { return context_; }

private:
    entry_process(
        boost::asio::io_context& io,
        entry_settings settings,
        const codec_functions& codec);

    [[nodiscard]] core::result<void> listen();
    boost::asio::awaitable<void> answer_readiness(http::exchange& asked);
    boost::asio::awaitable<void> answer_operator(http::exchange& asked);
    [[nodiscard]] std::string state_text() const;
    void set_gauges();
    void wait_for_signal();
    void on_signal(int number);
    void apply_settings(const entry_settings& read);
    void begin_stop();
    void watch_stop();
    void tick();
    void detect_stall();
    [[nodiscard]] bool is_refreshing();
    [[nodiscard]] bool may_lack_version() const;
    void on_server_added(
        const placement::backend_server& server, std::string_view source);
    void on_server_leaving(
        const placement::server_id& server, std::string_view source);
    void on_server_restarted(
        const placement::server_id& server,
        const http::endpoint& address,
        std::string_view source);
    void avoid_unresponsive_servers();
    void compare_paces();
    void
    compare_paces_of(const routing::service& service, core::time_point now);
    void poll_reports();
    void broadcast_load();
    void schedule_load_broadcast();
    void broadcast_cell_load();
    void broadcast_changed_servers();
    [[nodiscard]] wire::listed_servers servers_message() const;
    [[nodiscard]] wire::listed_server
    server_entry(const placement::server_id& id) const;
    [[nodiscard]] wire::host_work load_message() const;
    [[nodiscard]] std::vector<wire::message>
    initial_messages(const wire::hello& peer) const;
    void
    handle_message(const std::shared_ptr<wire::link>& from, wire::message said);
    void
    handle_table_version(const core::host_name& host, std::uint64_t version);
    void handle_table_request(
        const std::shared_ptr<wire::link>& from, const wire::pull& said);
    void request_table();
    void serve_table_requests();
    void
    handle_table(const core::host_name& host, const wire::table_document& said);
    void answer_table_request(wire::link& to, const wire::pull& asked);
    void send_table(wire::link& to, wire::message table, std::size_t bytes);
    void handle_table_changes(
        const core::host_name& host, const wire::table_changes& said);
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
    void handle_servers(
        const core::host_name& host, const wire::listed_servers& said);
    void handle_server_notice(
        const core::host_name& host, const wire::server_sign& said);
    void handle_link_claim(
        const core::host_name& host, const wire::link_claim& said);
    void handle_host_load(const wire::hello& peer, const wire::host_work& said);
    void
    handle_cell_load(const core::host_name& host, const wire::cell_work& said);
    void tell_limit(const placement::server_limit& limit, unsigned sends);
    [[nodiscard]] wire::server_limits limits_message() const;
    void
    handle_limits(const core::host_name& host, const wire::server_limits& said);
    void reject_limits(const core::host_name& host, const core::error& why);
    void update_limit_share();
    void forget_limit(const placement::server_id& server);
    [[nodiscard]] std::size_t host_rank(std::string_view key) const;
    [[nodiscard]] wire::crash_reports crash_reports_message() const;
    void handle_crash_reports(
        const core::host_name& host, const wire::crash_reports& said);
    void
    reject_crash_reports(const core::host_name& host, const core::error& why);
    [[nodiscard]] std::vector<placement::server_work> valid_load(
        const core::host_name& host,
        const std::vector<wire::server_work>& said);
    void update_list_readers(
        const core::host_name& host, const wire::host_work& said);

    boost::asio::io_context& io_;
    entry_context context_;
    call_dispatcher calls_;
    std::unique_ptr<http::server> callers_;
    std::unique_ptr<http::server> readiness_;
    std::unique_ptr<http::server> operators_;
    boost::asio::signal_set signals_;
    core::timer tick_timer_;
    core::timer stop_timer_;
    core::time_point started_at_{};
    core::time_point last_tick_at_{};
    source_refresh refresh_;
    bool has_received_version_ = false; ///< Of the route table, from anybody.
    core::time_point stop_began_{};
    std::unique_ptr<neighbour_links> neighbours_;
    settings_reader read_settings_;
    std::optional<entry_settings> last_read_settings_; ///< As the file said it.
    core::time_point reloaded_at_{};
    table_history tables_;
    table_fetch_scheduler table_fetches_;
    table_loader loader_;
    table_request_queue<wire::link, wire::pull> table_requests_;
    server_list_readers readers_;
    wire::host_work last_sent_load_;
    core::time_point load_sent_at_{};
    cell_load_reporter load_reporter_;
    core::time_point cell_load_sent_at_{};
    core::time_point reader_state_sent_at_{};
    report_poller reports_;
    core::time_point polled_at_{};
    server_list_outage outage_;
    std::set<placement::server_id> unsent_servers_; ///< Not told yet.
    core::time_point compared_at_{};
    std::set<core::host_name> invalid_gaps_from_; ///< Hosts that were logged.
    /// Hosts whose malformed crash reports were logged.
    std::set<core::host_name> malformed_crash_reports_from_;
    /// Hosts whose malformed limits were logged.
    std::set<core::host_name> malformed_limits_from_;
    std::set<core::host_name> fleet_hosts_;
    std::size_t fleet_size_ = 1;
    bool is_fleet_known_ = false;
    bool is_load_broadcast_scheduled_ = false;
    bool has_servers_ = false;
    bool was_ready_ = false;
};

} // namespace godwit::entry
