#pragma once

#include "dispatch_answer.hpp"
#include "load_poller.hpp"
#include "proxy_settings.hpp"
#include "session_registry.hpp"
#include "snapshot_cell.hpp"
#include "token_ledger.hpp"

#include <godwit/catalogue/state.hpp>
#include <godwit/core/identifiers.hpp>
#include <godwit/core/random.hpp>
#include <godwit/core/result.hpp>
#include <godwit/core/timer.hpp>
#include <godwit/dispatch/event.hpp>
#include <godwit/dispatch/request_arrived.hpp>
#include <godwit/dispatch/scheduler.hpp>
#include <godwit/membership/events.hpp>
#include <godwit/membership/listed_server.hpp>
#include <godwit/membership/pool.hpp>
#include <godwit/request/actions.hpp>
#include <godwit/wire/catalogue_position.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace godwit::proxy {

/// The control state of the proxy: catalogue, membership and dispatch, on
/// one thread. The public members may be called on any thread and return
/// before anything happens; what they bring about comes back through
/// listeners and snapshots.
class control_plane
{
public:
    /// The parts that it feeds, which outlive it.
    struct outputs
    {
        snapshot_cell& snapshots;
        token_ledger& ledger;
        session_registry& registry;
        /// The first catalogue is in force and the backend servers were
        /// asked for the first time. Called once on the control thread.
        std::function<void()> on_ready;
        /// A sign that the other entry hosts should have.
        std::function<void(const membership::forward_notice&)> on_sign;
        /// Another catalogue is in force, or one was offered in vain.
        std::function<void()> on_catalogue;
        /// Time passed; about ten times a second.
        std::function<void(core::time_point)> on_time;
    };

    /// `control` is run by one thread, `traffic` by the others. Fails with
    /// `invalid_input` on settings out of range.
    static core::result<std::unique_ptr<control_plane>> create(
        boost::asio::io_context& control,
        boost::asio::io_context& traffic,
        const proxy_settings& settings,
        std::uint64_t seed,
        outputs to);

    /// Begins the beat of timers.
    void start();

    /// Ends the beat of timers.
    void stop();

    /// Asks for a backend server; the listener is called once, unless the
    /// request leaves first.
    void ask(dispatch::request_arrived arrival, dispatch_listener listener);

    /// The request that waits does not any more.
    void leave(core::request_id id);

    /// Tells dispatch.
    void tell(dispatch::event what);

    /// A request saw the backend server so.
    void report(core::server_address server, request::observation seen);

    /// Puts a catalogue into force, if it is newer than the one that is.
    void take_catalogue(catalogue::state_pointer next);

    /// What the agent is told to be in force: nothing while the catalogue is
    /// the one of the settings. On the control thread only.
    [[nodiscard]] wire::catalogue_position position() const;

    /// The host list as a whole, beside the servers of the settings.
    void take_servers(std::vector<membership::listed_server> servers);

    /// How many entry hosts send to these servers. 0, not known, changes
    /// nothing.
    void take_entry_hosts(std::uint32_t count);

    /// A sign from another entry host.
    void take_sign(membership::notice_received sign);

    /// Gives the state to `listener`, on the control thread.
    void describe(std::function<void(boost::json::object)> listener);

private:
    /// What the log calls this part of the process.
    static constexpr std::string_view component = "control";

    control_plane(
        boost::asio::io_context& control,
        boost::asio::io_context& traffic,
        const proxy_settings& settings,
        std::uint64_t seed,
        outputs to,
        dispatch::scheduler scheduler,
        membership::pool pool);

    void wait_for_beat();
    void beat(core::time_point now);
    void run(const dispatch::event& what);
    void run(const membership::event& what);
    void answer(const core::request_id& id, const dispatch_answer& answer);

    void on(const dispatch::start_request& what);
    void on(const dispatch::refuse_request& what);
    void on(const dispatch::raise_priority& what);
    void on(const membership::publish_snapshot& what);
    void on(const membership::forward_notice& what);
    void on(const membership::probe_server& what);
    void on(const membership::state_changed& what);
    void on(const membership::host_list_implausible& what);

    void allow_last_servers(dispatch::request_arrived& arrival) const;
    void refresh_polls();
    void tell_of_servers();
    void tell_of_policy();
    void tell_if_ready(core::time_point now);
    void explore(core::time_point now);
    void on_load(
        const core::server_address& server,
        const core::result<load_report>& answer);
    void put_into_force(catalogue::state_pointer next);
    void tell_of_gone_services(const catalogue::state& next);
    [[nodiscard]] boost::json::object state() const;

    boost::asio::io_context& control_;
    const proxy_settings& settings_;
    outputs to_;
    dispatch::scheduler scheduler_;
    membership::pool pool_;
    load_poller poller_;
    core::timer timer_;
    core::time_point membership_due_{};
    core::time_point explore_due_{};
    /// When it is ready even if servers did not answer; none before the
    /// first catalogue and after it is ready.
    std::optional<core::time_point> ready_at_;
    core::random random_;
    std::vector<membership::listed_server> listed_;
    std::set<core::server_address> eligible_;
    bool stopped_ = false;
    std::unordered_map<core::request_id, dispatch_listener> waiting_;
    catalogue::state_pointer catalogue_;
    /// The catalogue of the settings gives way to any other.
    bool catalogue_is_static_ = false;
    /// The last number that was known; 1, this one, before.
    std::uint32_t entry_hosts_ = 1;
};

} // namespace godwit::proxy
