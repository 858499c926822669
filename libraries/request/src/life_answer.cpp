// From the answer's head to its end.

#include <godwit/request/life.hpp>

#include "life_emit.hpp"

#include <limits>
#include <utility>

namespace godwit::request {

namespace {

constexpr int ok = 200;
constexpr int not_found = 404;
constexpr int first_server_error = 500;

} // namespace

void life::on(const answer_head& what)
{
    if (!current(what.connection))
        return;
    if (head_seen_)
        return;
    const auto& expected = is_generation() ? generation_.value() : id_.value();
    // A refusal may come without an id: it is all that there is on a
    // connection of its own. An answer that is passed on may not.
    const bool must_echo =
        what.status == ok ||
        (!is_generation() && what.status < first_server_error);
    const bool may_lack_id =
        !must_echo || what.started != start_state::not_said;
    if (what.echoed_id != expected &&
        !(what.echoed_id.empty() && may_lack_id)) {
        record(decision::answer_dropped, "it carries another id");
        on_lost_link(observation::crossed, fail_reason::answer_crossed);
        return;
    }
    disarm(timer::head);
    if (resuming_ && what.status != ok) {
        // The engine does not know the generation: it is gone. Another
        // failure says nothing about it.
        drop_connection();
        if (what.status == not_found)
            on_lost_server(fail_reason::backend_server_lost);
        else
            try_to_resume(fail_reason::backend_error);
        return;
    }
    if (!resuming_ && what.started != start_state::not_said) {
        on_not_started(what);
        return;
    }
    if (what.status != ok &&
        (is_generation() || what.status >= first_server_error)) {
        on_failed_head(what);
        return;
    }
    head_seen_ = true;
    status_ = what.status;
    attempt_effect_ = effect::certain;
    report(observation::answered);
    if (request_.resume && !std::exchange(announced_, true))
        emit(announce_resumed{generation_});
    if (!is_generation())
        arm(timer::stall, settings_.head_wait);
    else if (received_ == 0 && !resuming_)
        // A new run elsewhere would wait behind others just the same, and
        // leave this one's place to the engine in vain.
        arm(timer::stall, settings_.first_token_wait);
    else
        arm(timer::stall, settings_.stall_wait);
}

// The backend server's own word that nothing ran.
void life::on_not_started(const answer_head& what)
{
    attempt_effect_ = effect::none;
    report(
        what.started == start_state::leaving ? observation::leaving
                                             : observation::answered);
    release_connection();
    retry_elsewhere(fail_reason::declined);
}

void life::on_failed_head(const answer_head& what)
{
    report(observation::answered);
    const bool may_help_elsewhere = what.status >= first_server_error;
    if (may_help_elsewhere && may_run_again()) {
        release_connection();
        retry_elsewhere(fail_reason::backend_error);
        return;
    }
    if (is_generation() || what.echoed_id.empty()) {
        release_connection();
        fail(fail_reason::backend_error);
        return;
    }
    // The service's own failure is its answer, and is passed on.
    head_seen_ = true;
    status_ = what.status;
    attempt_effect_ = effect::certain;
    arm(timer::stall, settings_.head_wait);
}

void life::on(const tokens_arrived& what)
{
    if (!current(what.connection) || !head_seen_ || !is_generation() ||
        step_ == step::last_token)
        return;
    if (what.generation != generation_) {
        record(decision::answer_dropped, "tokens of another generation");
        on_lost_link(observation::crossed, fail_reason::answer_crossed);
        return;
    }
    const bool has_end =
        what.count <= std::numeric_limits<std::uint64_t>::max() - what.offset;
    if (what.offset > received_ || !has_end) {
        record(decision::answer_dropped, "tokens are missing before these");
        on_lost_link(observation::broke, fail_reason::token_gap);
        return;
    }
    if (what.offset < received_)
        record(decision::overlap_dropped, "the caller has these tokens");
    const auto end = what.offset + what.count;
    const bool progress = end > received_;
    if (progress) {
        resume_tries_ = 0;
        take_tokens(received_, end - received_);
    }
    resuming_ = false;
    if (what.finish == token_finish::last) {
        step_ = step::last_token;
        disarm(timer::stall);
        arm(timer::end, settings_.end_wait);
        return;
    }
    if (received_ > 0)
        step_ = received_ == 1 ? step::first_token : step::mid_stream;
    // Empty events are no progress: they must not hide a stall.
    if (progress)
        arm(timer::stall, settings_.stall_wait);
}

void life::take_tokens(std::uint64_t first, std::uint64_t count)
{
    received_ = first + count;
    const bool streamed = request_.mode == answer_mode::streamed;
    // A run under a claim is collected besides, for the caller's retries.
    if (!streamed || claim_ == claim_state::held)
        emit(keep_tokens{generation_, first, count});
    if (!streamed || caller_left_)
        return;
    emit(deliver_tokens{generation_, first, count});
    delivered_ = received_;
}

void life::on(const preempted& what)
{
    if (!current(what.connection) || !head_seen_ ||
        what.generation != generation_)
        return;
    attempt_effect_ = effect::certain;
    emit(note_preemption{ask_, what.count});
    record(decision::preemption_noted, "the engine pushed it off");
    arm(timer::stall, settings_.preempted_wait);
}

void life::on(const answer_complete& what)
{
    if (!current(what.connection) || !head_seen_)
        return;
    // An end marker without a finish reason is a cut, but for a generation
    // that was asked again and has nothing more: its last token came before.
    const bool nothing_more = resuming_ && received_ > 0;
    if (is_generation() && step_ != step::last_token && !nothing_more) {
        on_lost_link(observation::broke, fail_reason::link_broken);
        return;
    }
    release_connection();
    finish_answer();
}

void life::finish_answer()
{
    step_ = step::finishing;
    disarm_all();
    drop_grant();
    settle_claim_with(core::outcome::completed);
    if (caller_left_) {
        complete();
        return;
    }
    if (is_generation() && request_.mode == answer_mode::streamed)
        emit(finish_stream{});
    else
        emit(deliver_answer{status_});
}

void life::on(const delivered_to_caller&)
{
    if (step_ == step::finishing)
        complete();
}

void life::complete()
{
    record(decision::completed, "the whole answer is delivered");
    step_ = step::finished;
    if (!result_)
        result_ = core::outcome::completed;
}

} // namespace godwit::request
