#pragma once

#include <godwit/core/random.hpp>
#include <godwit/core/result.hpp>
#include <godwit/request/actions.hpp>
#include <godwit/request/events.hpp>
#include <godwit/request/life_settings.hpp>
#include <godwit/request/retry_budget.hpp>
#include <godwit/request/step.hpp>

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace godwit::request {

/// The state machine of one caller's request in one proxy. It does no I/O:
/// what happens comes in as events, what is to be done goes out as actions.
///
/// Events that are about a connection or a grant carry its number; those of
/// an earlier one are ignored, so a late answer cannot be taken for another.
class life
{
public:
    /// `budget` bounds the retries of the request's service and outlives
    /// the object. `seed` draws the jitter of delays. Refuses settings whose
    /// spans or limits are not above zero.
    [[nodiscard]] static core::result<life> create(
        const life_settings& settings,
        core::request_id id,
        retry_budget& budget,
        std::uint64_t seed);

    /// What is to be done about `what`, in order.
    [[nodiscard]] std::vector<action>
    handle(const event& what, core::time_point now);

    [[nodiscard]] const core::request_id& id() const noexcept { return id_; }

    [[nodiscard]] step current_step() const noexcept { return step_; }

    /// Whether the process began to stop during the request.
    [[nodiscard]] bool draining() const noexcept { return draining_; }

    /// Whether all is done: the caller has its final answer or is gone, and
    /// no run is followed any more. A `claim_won` or `granted` that comes
    /// later is answered by `release_claim` or `leave_dispatch`.
    [[nodiscard]] bool finished() const noexcept
    {
        return step_ == step::finished;
    }

    /// The outcome, once finished.
    [[nodiscard]] std::optional<core::outcome> result() const noexcept
    {
        return result_;
    }

    /// Tokens given to the caller so far, those before a resume included.
    [[nodiscard]] std::uint64_t delivered() const noexcept
    {
        return delivered_;
    }

    /// Where another entry host would go on, for the resume token.
    [[nodiscard]] resume_position position() const;

private:
    /// What the attempts so far can have done at backend servers.
    enum class effect
    {
        none,     ///< Certainly nothing.
        possible, ///< Bytes were handed over; nothing more is known.
        certain,  ///< A backend server answered that it runs or ran.
    };

    enum class claim_state
    {
        not_needed,
        pending,
        held,
        given_up,
    };

    life(
        const life_settings& settings,
        core::request_id id,
        retry_budget& budget,
        std::uint64_t seed);

    void on(const accepted& what);
    void on(const claim_won& what);
    void on(const claim_held& what);
    void on(const claim_finished& what);
    void on(const claim_refused& what);
    void on(const claim_unavailable& what);
    void on(const holder_answered& what);
    void on(const holder_failed& what);
    void on(const holder_released& what);
    void on(const granted& what);
    void on(const dispatch_refused& what);
    void on(const connected& what);
    void on(const connect_failed& what);
    void on(const first_byte_handed_over& what);
    void on(const request_sent& what);
    void on(const answer_head& what);
    void on(const tokens_arrived& what);
    void on(const preempted& what);
    void on(const answer_complete& what);
    void on(const link_broken& what);
    void on(const delivered_to_caller& what);
    void on(const caller_gone& what);
    void on(const caller_slow& what);
    void on(const resumed_elsewhere& what);
    void on(const timer_fired& what);
    void on(const drain_began& what);
    void on(const drain_limit& what);
    void on(const service_gone& what);

    // Going forward.
    void ask_for_claim();
    void ask_for_server();
    void connect();
    void take_tokens(std::uint64_t first, std::uint64_t count);
    void finish_answer();
    void complete();

    // Going back.
    void on_lost_link(observation seen, fail_reason reason);
    void try_to_resume(fail_reason reason);
    void on_lost_server(fail_reason reason);
    void on_not_started(const answer_head& what);
    void on_failed_head(const answer_head& what);
    void retry_elsewhere(fail_reason reason);
    void attach(const core::host_name& holder, holder_state state);
    void fail(
        fail_reason reason,
        std::optional<core::duration> retry_after = std::nullopt);
    void fail_with(
        core::outcome result,
        fail_reason reason,
        std::optional<core::duration> retry_after);
    void tell_caller(
        fail_reason reason,
        core::outcome result,
        std::optional<core::duration> retry_after);
    void give_up_on_caller(fail_reason reason);
    void handle_after_end(const event& what);

    // Small steps.
    [[nodiscard]] bool current(std::uint32_t connection) const noexcept;
    [[nodiscard]] bool is_generation() const noexcept;
    [[nodiscard]] bool may_run_again() const noexcept;
    [[nodiscard]] bool needs_claim() const noexcept;
    [[nodiscard]] bool must_run_on() const noexcept;
    [[nodiscard]] bool can_resume() const noexcept;
    [[nodiscard]] effect whole_effect() const noexcept;
    [[nodiscard]] core::outcome outcome_now() const noexcept;
    [[nodiscard]] bool
    helps_to_come_back(fail_reason reason, core::outcome result) const noexcept;
    [[nodiscard]] core::duration next_backoff(std::uint32_t tries);
    void drop_connection();
    void release_connection();
    void drop_grant();
    void settle_claim_with(core::outcome result);
    void stop_work(fail_reason reason, core::outcome result);
    void arm(timer which, core::duration after);
    void disarm(timer which) noexcept;
    void disarm_all() noexcept;
    void record(decision what, std::string_view why);
    void report(observation seen);

    template<class Action>
    void emit(Action what);

    life_settings settings_;
    core::request_id id_;
    retry_budget* budget_;
    core::random random_;

    core::time_point now_;
    std::vector<action> actions_;
    accepted request_;
    step step_ = step::accepted;
    std::optional<core::outcome> result_;
    std::array<std::optional<core::time_point>, timer_count> timers_;
    bool draining_ = false;
    bool caller_left_ = false;
    bool moved_elsewhere_ = false;

    claim_state claim_ = claim_state::not_needed;
    std::optional<core::time_point> start_before_;
    bool attached_ = false;
    std::uint32_t attachments_ = 0;

    std::uint32_t ask_ = 0;
    bool in_dispatch_ = false;
    std::vector<core::server_address> excluded_;
    core::server_address server_;
    int priority_ = 0;

    std::uint32_t connection_ = 0;
    bool connection_open_ = false;
    bool resuming_ = false;
    bool announced_ = false;
    bool head_seen_ = false;
    int status_ = 0;

    core::generation_id generation_;
    std::uint32_t attempt_ = 0;
    std::uint32_t resume_tries_ = 0;
    std::uint64_t received_ = 0;
    std::uint64_t delivered_ = 0;
    effect attempt_effect_ = effect::none;
    effect earlier_effect_ = effect::none;
};

} // namespace godwit::request
