#pragma once

#include "backend.hpp"
#include "history.hpp"

#include <godwit/claims/claimer.hpp>
#include <godwit/membership/pool.hpp>
#include <godwit/request/life.hpp>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace godwit::faults {

class world;

/// One request in one entry host, with what its shell holds.
struct session
{
    std::size_t number = 0; ///< Of the try in the history.
    request::accepted request;
    request::life life;
    std::map<std::uint32_t, link_pointer> links;
    std::vector<token> arrived; ///< The tokens of the latest event.
    std::vector<token> kept;
    claims::claim_position position{};
};

using session_pointer = std::shared_ptr<session>;

/// How a run under a claim ended, for those attached to it.
enum class run_end
{
    answered,
    failed,
    released,
};

/// A run under a claim at this host, for retries under the same key.
struct keyed_run
{
    std::size_t number = 0;
    std::optional<run_end> end;
    std::vector<token> answer;
    std::vector<std::function<void(run_end, std::vector<token>)>> waiting;
};

/// The agent and the proxy of one entry host as one process: the real
/// decisions, with a shell in virtual time.
class entry_host : public std::enable_shared_from_this<entry_host>
{
public:
    entry_host(world& around, std::size_t index, std::uint64_t incarnation);

    void start();
    void accept(std::size_t number, const request::accepted& what);
    void caller_left(std::size_t number);
    void pause(core::duration span);
    void drain(core::duration limit);
    void die();
    void break_links(bool silently);

    /// Runs `what` after `wait`, when this process is alive and not paused.
    void post(core::duration wait, std::function<void()> what);
    void receive(std::function<void()> what);

    void feed(
        const session_pointer& one,
        const request::event& what,
        std::vector<token> content = {});
    void see(const membership::event& what);
    void tell_claimer(const claims::claimer_event& what);

    /// Answers an entry host that attaches to the run of `key` here.
    void find_run(
        const std::string& key,
        std::function<void(run_end, std::vector<token>)> answer);

    [[nodiscard]] std::string incarnation() const;

    [[nodiscard]] bool accepting() const { return !draining_; }

    [[nodiscard]] std::size_t server_of(std::size_t number) const;

private:
    void execute(
        const session_pointer& one, const std::vector<request::action>& todo);

    template<class Action>
    void run(const session_pointer&, const Action&)
    {}

    void run(const session_pointer& one, const request::ask_claim& what);
    void run(const session_pointer& one, const request::release_claim& what);
    void run(const session_pointer& one, const request::settle_claim& what);
    void run(const session_pointer& one, const request::attach_to_holder& what);
    void run(const session_pointer& one, const request::ask_dispatch& what);
    void run(const session_pointer& one, const request::connect_to& what);
    void run(const session_pointer& one, const request::send_request& what);
    void
    run(const session_pointer& one, const request::resume_generation& what);
    void run(const session_pointer& one, const request::announce_resumed& what);
    void run(const session_pointer& one, const request::deliver_tokens& what);
    void run(const session_pointer& one, const request::keep_tokens& what);
    void run(const session_pointer& one, const request::discard_kept& what);
    void run(const session_pointer& one, const request::deliver_answer& what);
    void run(const session_pointer& one, const request::finish_stream& what);
    void run(const session_pointer& one, const request::fail_request& what);
    void
    run(const session_pointer& one, const request::cancel_generation& what);
    void run(const session_pointer& one, const request::close_connection& what);
    void run(const session_pointer& one, const request::keep_connection& what);
    void run(const session_pointer& one, const request::set_timer& what);
    void run(const session_pointer& one, const request::report_server& what);

    void on_claim_answer(
        const session_pointer& one, const claims::claim_answer& answer);
    void end_run(const std::string& key, run_end end);
    void wake_claimer();
    void read_list();
    void tick();
    [[nodiscard]] claims::claim_holder holder() const;
    [[nodiscard]] std::vector<token> content(
        const session_pointer& one,
        std::uint64_t first,
        std::uint64_t count) const;

    world* world_;
    std::size_t index_;
    std::uint64_t incarnation_;
    membership::pool pool_;
    claims::claimer claimer_;
    request::retry_budget budget_;
    std::map<std::size_t, session_pointer> sessions_;
    std::map<std::string, keyed_run> runs_;
    std::deque<std::function<void()>> inbox_;
    core::time_point paused_until_{};
    core::time_point claimer_wakes_{};
    std::size_t next_server_ = 0;
    bool refuse_next_ = false;
    bool draining_ = false;
    bool knows_servers_ = false;
};

} // namespace godwit::faults
