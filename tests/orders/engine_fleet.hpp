#pragma once

#include "../claims/fake_log.hpp"
#include "virtual_time.hpp"

#include <godwit/core/random.hpp>
#include <godwit/orders/lease_table.hpp>
#include <godwit/orders/reconciler.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// How a fleet of agents and engines is set up.
struct engine_fleet_options
{
    std::size_t agents = 6;
    std::size_t engines = 12;
    bool checks_fencing = true;
    godwit::core::duration load_time = std::chrono::seconds(5);
    godwit::orders::reconciler_settings reconciler;
};

/// What happened to orders.
struct order_figures
{
    std::size_t stale_sent = 0;
    std::size_t stale_refused = 0;
    std::size_t stale_applied = 0;
    std::size_t loads = 0;
    godwit::core::duration longest_wrong{0};
};

/// Agents with their reconcilers, one pool of engines and the log, in
/// virtual time with faults.
class engine_fleet
{
public:
    using action = std::function<void()>;

    explicit engine_fleet(engine_fleet_options options);

    godwit::core::time_point now() const { return time_.now(); }

    void after(godwit::core::duration delay, action what)
    {
        time_.after(delay, std::move(what));
    }

    void run_for(godwit::core::duration length) { time_.run_for(length); }

    /// Publishes what the pool shall serve; how requests are routed.
    void want(const std::string& version, const std::string& serving);

    /// Runs until the targets are met; how long that took, at most `limit`.
    std::optional<godwit::core::duration>
    time_to_reach(godwit::core::duration limit);

    /// The one agent that holds the pool, if one does.
    std::optional<std::size_t> holder() const;

    std::size_t serving(const std::string& version) const;

    // Faults.
    void pause(std::size_t agent, godwit::core::duration length);
    void restart(std::size_t agent);
    bool clocks_stop = false; ///< A pause stops the host's clock too.
    void see_hosts(std::size_t agent, const std::vector<std::size_t>& seen);
    bool outage = false;
    int lose_orders = 0;  ///< Orders that do not arrive.
    int lose_answers = 0; ///< Orders that take effect unanswered.
    int lose_appends = 0; ///< Appends that take effect unanswered.
    /// How long the log takes to answer an append that can be read already.
    godwit::core::duration answer_delay = std::chrono::milliseconds(1);
    /// Orders are held in the shell after its check of the lease, until the
    /// pause ends: what no check can catch.
    bool freeze_after_check = false;

    /// An order as a holder of `number` would send it, from nowhere.
    void stray_order(
        std::size_t engine,
        std::uint64_t number,
        const godwit::orders::engine_order& order);

    const order_figures& figures() const { return figures_; }

    const godwit::orders::reconciler& agent(std::size_t index) const
    {
        return *agents_[index].decisions;
    }

    std::vector<godwit::orders::engine_order> sent; ///< In their order.

private:
    struct agent_host
    {
        std::optional<godwit::orders::reconciler> decisions;
        std::size_t epoch = 0;
        godwit::core::time_point paused_until;
        godwit::core::duration behind{0}; ///< Of its clock.
        godwit::core::time_point tick_at;
    };

    struct engine_host
    {
        godwit::orders::engine_state state;
        std::optional<godwit::core::time_point> wrong_since;
    };

    void start(std::size_t agent);
    void on_agent(std::size_t agent, std::size_t epoch, action what);
    void tell(
        std::size_t agent,
        godwit::core::duration delay,
        godwit::orders::reconciler_event event);
    void
    handle(std::size_t agent, const godwit::orders::reconciler_event& event);
    void act(std::size_t agent, const godwit::orders::append_record& append);
    void act(std::size_t agent, const godwit::orders::read_log& read);
    void act(std::size_t agent, const godwit::orders::read_engine& read);
    void act(std::size_t agent, const godwit::orders::send_order& order);
    void act(std::size_t agent, const godwit::orders::raise_alarm& alarm);
    void dispatch(std::size_t agent, const godwit::orders::send_order& order);
    bool arrive(
        std::size_t engine,
        std::uint64_t number,
        const godwit::orders::engine_order& order);
    void apply(std::size_t engine, const godwit::orders::engine_order& order);
    void look(std::size_t engine);
    std::size_t engine_index(const godwit::core::server_address& address) const;
    godwit::orders::engines_changed live_engines() const;

    engine_fleet_options options_;
    godwit::test::virtual_time time_{
        godwit::core::time_point(std::chrono::seconds(1)), 200'000};
    fake_log<godwit::orders::log_record> log_;
    std::vector<agent_host> agents_;
    std::vector<engine_host> engines_;
    godwit::orders::pool pool_;
    godwit::orders::lease_table truth_;
    order_figures figures_;
    std::size_t incarnations_ = 0;
};
