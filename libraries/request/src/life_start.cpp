// From arrival to the send: the claim, dispatch and the connection.

#include <godwit/request/life.hpp>

#include "life_emit.hpp"

#include <cassert>

namespace godwit::request {

void life::on(const accepted& what)
{
    request_ = what;
    if (request_.deadline) {
        if (*request_.deadline <= now_) {
            fail(fail_reason::deadline);
            return;
        }
        arm(timer::deadline, *request_.deadline - now_);
    }
    if (request_.resume) {
        // The generation runs already: nothing is claimed, and no place is
        // taken that it does not hold.
        server_ = request_.resume->server;
        generation_ = request_.resume->generation;
        received_ = request_.resume->offset;
        delivered_ = request_.resume->offset;
        earlier_effect_ = effect::certain;
        resuming_ = true;
        connect();
        return;
    }
    budget_->deposit(now_);
    if (needs_claim())
        ask_for_claim();
    else
        ask_for_server();
}

// The claim comes before the queue. A caller's retry must find the run that
// it repeats at once, and a queue's refusal before the claim is held could
// not truthfully say `not_run`.
void life::ask_for_claim()
{
    claim_ = claim_state::pending;
    arm(timer::claim, settings_.claim_wait);
    emit(ask_claim{request_.organisation, *request_.key});
    record(decision::claim_asked, "may run at most once");
}

void life::on(const claim_won& what)
{
    if (claim_ != claim_state::pending) {
        emit(release_claim{});
        return;
    }
    claim_ = claim_state::held;
    start_before_ = what.start_before;
    disarm(timer::claim);
    step_ = step::claimed;
    ask_for_server();
}

void life::on(const claim_held& what)
{
    if (claim_ == claim_state::pending)
        attach(what.holder, what.state);
}

void life::on(const claim_finished& what)
{
    if (claim_ != claim_state::pending)
        return;
    if (what.result == core::outcome::completed) {
        attach(what.holder, what.state);
        return;
    }
    claim_ = claim_state::given_up;
    const auto result = what.result == core::outcome::interrupted
                            ? core::outcome::interrupted
                            : core::outcome::unknown;
    fail_with(result, fail_reason::run_failed, std::nullopt);
}

void life::on(const claim_refused& what)
{
    if (claim_ != claim_state::pending)
        return;
    claim_ = claim_state::given_up;
    // The key's own request is another one; this one never ran.
    if (what.why == claim_refusal::key_reused)
        fail_with(
            core::outcome::not_run, fail_reason::key_reused, std::nullopt);
    else
        fail(fail_reason::claim_outside_window);
}

void life::attach(const core::host_name& holder, holder_state state)
{
    claim_ = claim_state::given_up;
    disarm(timer::claim);
    if (state == holder_state::lost) {
        fail(fail_reason::holder_lost);
        return;
    }
    step_ = step::claimed;
    attached_ = true;
    ++attachments_;
    arm(timer::claim, settings_.holder_wait);
    emit(attach_to_holder{holder});
    record(decision::attached_to_holder, "another run holds the claim");
}

void life::on(const claim_unavailable& what)
{
    if (claim_ != claim_state::pending)
        return;
    claim_ = claim_state::given_up;
    fail(fail_reason::claim_unavailable, what.retry_after);
}

void life::on(const holder_answered&)
{
    if (!attached_)
        return;
    constexpr int ok = 200;
    status_ = ok;
    disarm_all();
    step_ = step::finishing;
    emit(deliver_answer{status_});
}

void life::on(const holder_failed&)
{
    if (attached_ && step_ == step::claimed)
        fail(fail_reason::holder_lost);
}

void life::on(const holder_released&)
{
    if (!attached_ || step_ != step::claimed)
        return;
    attached_ = false;
    if (attachments_ >= settings_.attempt_limit) {
        fail(fail_reason::holder_lost);
        return;
    }
    step_ = step::accepted;
    ask_for_claim();
}

void life::ask_for_server()
{
    step_ = step::queued;
    in_dispatch_ = true;
    ++ask_;
    emit(ask_dispatch{ask_, excluded_});
    record(decision::dispatch_asked, "needs a backend server");
}

void life::on(const granted& what)
{
    if (step_ != step::queued || !in_dispatch_ || what.ask != ask_) {
        emit(leave_dispatch{what.ask});
        return;
    }
    server_ = what.server;
    priority_ = what.priority;
    ++attempt_;
    record(decision::backend_server_taken, "granted by dispatch");
    connect();
}

void life::on(const dispatch_refused& what)
{
    if (step_ != step::queued || what.ask != ask_)
        return;
    in_dispatch_ = false;
    const auto reason = what.why == refusal::no_server
                            ? fail_reason::no_backend_server
                            : fail_reason::queue_refused;
    fail(reason, what.retry_after);
}

void life::connect()
{
    step_ = resuming_ ? step::resuming : step::connecting;
    ++connection_;
    connection_open_ = true;
    head_seen_ = false;
    arm(timer::connect, settings_.connect_wait);
    emit(connect_to{connection_, server_});
}

void life::on(const connected& what)
{
    if (!current(what.connection))
        return;
    disarm(timer::connect);
    if (resuming_) {
        arm(timer::head, settings_.resume_wait);
        emit(resume_generation{connection_, generation_, received_});
        record(decision::generation_resumed, "asked from the next token");
        return;
    }
    // A process that was paused since it won the claim must not start after
    // the claim's record can be trimmed from the log.
    if (start_before_ && now_ >= *start_before_) {
        fail(fail_reason::claim_expired);
        return;
    }
    if (is_generation()) {
        generation_ =
            core::generation_id(id_.value() + "-" + std::to_string(attempt_));
    }
    step_ = step::sent;
    arm(timer::head, settings_.head_wait);
    emit(send_request{connection_, generation_, priority_, start_before_});
    record(decision::request_sent, "connected");
}

void life::on(const connect_failed& what)
{
    if (!current(what.connection))
        return;
    on_lost_link(
        what.refused ? observation::refused : observation::timed_out,
        fail_reason::backend_server_lost);
}

void life::on(const first_byte_handed_over& what)
{
    if (!current(what.connection) || resuming_)
        return;
    if (attempt_effect_ == effect::none)
        attempt_effect_ = effect::possible;
}

void life::on(const request_sent& what)
{
    // Says more than the first byte, for a shell that batches the two.
    on(first_byte_handed_over{what.connection});
}

} // namespace godwit::request
