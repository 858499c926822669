#pragma once

#include "fake_log.hpp"
#include "virtual_time.hpp"

#include <godwit/claims/claimer.hpp>
#include <godwit/claims/kept_answers.hpp>
#include <godwit/core/random.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// How a fleet of entry hosts is set up.
struct fleet_options
{
    std::uint64_t seed = 1;
    std::size_t hosts = 6;
    std::size_t zones = 3;
    godwit::core::duration append_time = std::chrono::milliseconds(10);
    godwit::core::duration hop = std::chrono::microseconds(500);
    godwit::core::duration run_time = std::chrono::milliseconds(800);
    godwit::core::duration start_delay = std::chrono::milliseconds(1);
    godwit::claims::claimer_settings claimer;
};

/// One try of a caller at one entry host.
struct caller_try
{
    std::size_t host = 0;
    std::size_t key = 0;
    godwit::core::time_point asked_at;
    godwit::core::time_point answered_at;
    std::optional<godwit::claims::claim_answer> answer;
    bool host_died = false;
};

/// A run of a request that may not be repeated.
struct fleet_run
{
    std::size_t host = 0;
    godwit::claims::claim_position position;
};

/// Entry hosts (an agent's claimer and a proxy each), their peers and the
/// log, in virtual time with faults. Same options, same story.
class fleet
{
public:
    using action = std::function<void()>;

    explicit fleet(fleet_options options);

    godwit::core::time_point now() const { return time_.now(); }

    /// Does `what` after `delay`.
    void after(godwit::core::duration delay, action what)
    {
        time_.after(delay, std::move(what));
    }

    void run_for(godwit::core::duration length) { time_.run_for(length); }

    /// A caller tries `key` at `host`; the index of the try comes back.
    std::size_t
    submit(std::size_t host, std::size_t key, const std::string& body = "body");

    const caller_try& answer(std::size_t index) const { return tries_[index]; }

    const std::vector<caller_try>& tries() const { return tries_; }

    const std::vector<fleet_run>& runs(std::size_t key) { return runs_[key]; }

    /// What the holder's proxy tells a peer about a held key.
    std::optional<godwit::claims::kept_lookup>
    ask_holder(std::size_t index, const std::string& body = "body");

    /// The holder's proxy sends its release again if it never ran the key.
    bool heal(std::size_t index);

    // Faults.
    void pause(std::size_t host, godwit::core::duration length);
    void kill(std::size_t host);
    void replace(std::size_t host);
    void restart_agent(std::size_t host);

    void cut_log(std::size_t host, bool cut) { hosts_[host].cut = cut; }

    void cut_peers(bool cut) { peers_cut_ = cut; }

    void set_hosts_seen(std::size_t host, std::vector<std::size_t> seen);
    bool outage = false;
    int lose_answers = 0;   ///< Appends that take effect unanswered.
    int lose_appends = 0;   ///< Appends that take no effect, unanswered.
    int refuse_appends = 0; ///< Appends answered 429.
    godwit::core::duration append_time;
    bool proxies_decline = false; ///< Winners release instead of running.

    /// Called before the n-th event of each host's agent is handled.
    std::function<void(std::size_t host, std::size_t nth)> before_event;

    godwit::claims::claimer& agent(std::size_t host)
    {
        return *hosts_[host].agent;
    }

    std::uint64_t appends() const { return appends_; }

    fake_log<godwit::claims::log_record>& log() { return log_; }

    /// Fails the test unless every promise held so far.
    void check_promises();

private:
    struct poll
    {
        std::size_t host;
        std::size_t epoch;
        godwit::claims::read_log read;
    };

    struct entry_host
    {
        std::optional<godwit::claims::claimer> agent;
        std::optional<godwit::claims::kept_answers> kept;
        godwit::claims::claim_holder holder;
        godwit::core::time_point paused_until;
        godwit::core::time_point tick_at;
        std::size_t agent_epoch = 0;
        std::size_t proxy_epoch = 0;
        std::size_t events = 0;
        bool alive = true;
        bool cut = false;
    };

    std::string name(std::size_t host) const;
    std::size_t index_of(const std::string& name) const;
    void start_agent(std::size_t host);
    void start_proxy(std::size_t host);
    void on_agent(std::size_t host, std::size_t epoch, action what);
    void on_proxy(std::size_t host, std::size_t epoch, action what);
    void
    tell(std::size_t host, godwit::claims::claimer_event event, bool reply);
    void handle(std::size_t host, const godwit::claims::claimer_event& event);
    void schedule_tick(std::size_t host);
    void act(std::size_t host, const godwit::claims::append_batch& append);
    void act(std::size_t host, const godwit::claims::read_log& read);
    void act(std::size_t host, const godwit::claims::answer_ask& answer);
    void act(std::size_t host, const godwit::claims::forward_claims& forward);
    void act(std::size_t host, const godwit::claims::decline_forwarded& to);
    void act(std::size_t host, const godwit::claims::raise_alarm& alarm);
    void answer_poll(const poll& waiting);
    void wake_polls();
    void win(std::size_t index, const godwit::claims::claim_won& won);
    void finish(
        std::size_t host, std::size_t key, godwit::claims::claim_position at);
    void release(
        std::size_t host, std::size_t key, godwit::claims::claim_position at);
    godwit::claims::claim_key key(std::size_t number) const;

    fleet_options options_;
    godwit::core::random random_;
    godwit::test::virtual_time time_{godwit::core::time_point{}, 2'000'000};
    fake_log<godwit::claims::log_record> log_;
    std::vector<entry_host> hosts_;
    std::vector<poll> polls_;
    std::vector<caller_try> tries_;
    std::map<std::size_t, std::vector<fleet_run>> runs_;
    std::map<std::size_t, std::string> bodies_;
    std::uint64_t appends_ = 0;
    std::uint64_t incarnations_ = 0;
    bool peers_cut_ = false;
};
