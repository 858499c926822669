// The ways in which a request ends without its whole answer.

#include <godwit/request/life.hpp>

#include "life_emit.hpp"

#include <cassert>
#include <string>
#include <utility>

namespace godwit::request {

namespace {

std::string_view advice_for(
    core::outcome result,
    const accepted& request,
    std::uint64_t delivered,
    fail_reason reason)
{
    const bool repeatable = request.repeat == repeatability::repeatable;
    switch (result) {
    case core::outcome::completed:
        return "";
    case core::outcome::not_run:
        return "it did not run and can be sent again";
    case core::outcome::interrupted:
        if (reason == fail_reason::drain_limit && delivered > 0)
            return "continue the stream with Last-Event-ID";
        if (repeatable)
            return "drop the part that was received and send it again";
        break;
    case core::outcome::unknown:
        if (repeatable)
            return "it may have run and can be sent again";
        break;
    }
    if (request.key)
        return "it may have run; ask again with the same idempotency key";
    return "it may have run; check at the service before sending it again";
}

} // namespace

// Everything that this host still holds for the request is given back.
void life::stop_work(fail_reason reason, core::outcome result)
{
    const bool runs = step_ != step::finishing && step_ != step::last_token &&
                      whole_effect() != effect::none;
    // A caller can continue its stream through another entry host; the
    // generation must be there then.
    const bool can_move = reason == fail_reason::drain_limit && delivered_ > 0;
    if (runs && can_resume() && !can_move && !moved_elsewhere_)
        emit(cancel_generation{server_, generation_});
    drop_connection();
    drop_grant();
    settle_claim_with(result);
    disarm_all();
}

void life::fail(fail_reason reason, std::optional<core::duration> retry_after)
{
    fail_with(outcome_now(), reason, retry_after);
}

void life::fail_with(
    core::outcome result,
    fail_reason reason,
    std::optional<core::duration> retry_after)
{
    if (!caller_left_)
        tell_caller(reason, result, retry_after);
    stop_work(reason, result);
    record(decision::failed, to_string(reason));
    step_ = step::finished;
    if (!result_)
        result_ = result;
}

void life::tell_caller(
    fail_reason reason,
    core::outcome result,
    std::optional<core::duration> retry_after)
{
    std::string remedy(remedy_for(reason));
    remedy.append("; ").append(
        advice_for(result, request_, delivered_, reason));
    const bool can_help = helps_to_come_back(reason, result);
    if (can_help && !retry_after)
        retry_after = settings_.retry_after;
    if (!can_help)
        retry_after.reset();
    emit(fail_request{
        result,
        reason,
        std::move(remedy),
        http_status_for(reason),
        retry_after});
}

// Nobody is invited to send again what may run twice, or what can only fail
// again.
bool life::helps_to_come_back(
    fail_reason reason, core::outcome result) const noexcept
{
    switch (reason) {
    case fail_reason::service_gone:
    case fail_reason::claim_outside_window:
    case fail_reason::key_reused:
    case fail_reason::run_failed:
        return false;
    default:
        return result == core::outcome::not_run || request_.key ||
               request_.repeat == repeatability::repeatable;
    }
}

// The caller gets its final answer now; a run that may not be repeated goes
// on, so that a retry under the same key finds its answer.
void life::give_up_on_caller(fail_reason reason)
{
    if (!must_run_on() || step_ == step::finishing) {
        fail(reason);
        return;
    }
    if (!caller_left_) {
        result_ = outcome_now();
        tell_caller(reason, *result_, std::nullopt);
        record(decision::caller_left, to_string(reason));
    }
    caller_left_ = true;
    disarm(timer::deadline);
}

void life::on(const caller_gone&)
{
    if (caller_left_)
        return;
    record(decision::caller_left, "the caller closed its connection");
    caller_left_ = true;
    if (must_run_on() && step_ != step::finishing) {
        disarm(timer::deadline);
        return;
    }
    // Only a caller that has a token can come back for the rest.
    const bool can_come_back = delivered_ > 0 && can_resume() &&
                               request_.mode == answer_mode::streamed &&
                               step_ != step::finishing;
    if (!can_come_back) {
        fail(fail_reason::caller_gone);
        return;
    }
    disarm(timer::deadline);
    arm(timer::orphan, settings_.orphan_wait);
}

void life::on(const resumed_elsewhere& what)
{
    if (what.generation != generation_ || generation_.empty())
        return;
    moved_elsewhere_ = true;
    if (caller_left_ && !must_run_on())
        fail(fail_reason::caller_gone);
}

void life::on(const caller_slow&)
{
    give_up_on_caller(fail_reason::caller_slow);
}

void life::on(const drain_began&)
{
    draining_ = true;
}

void life::on(const drain_limit&)
{
    fail(fail_reason::drain_limit);
}

// What was sent ends on the version on which it began.
void life::on(const service_gone&)
{
    const bool not_sent = step_ == step::accepted || step_ == step::queued ||
                          step_ == step::connecting;
    if (not_sent)
        fail(fail_reason::service_gone);
}

void life::drop_connection()
{
    if (!connection_open_)
        return;
    connection_open_ = false;
    disarm(timer::connect);
    disarm(timer::head);
    disarm(timer::stall);
    emit(close_connection{connection_});
}

// Only after a whole answer: nothing late can come on it any more.
void life::release_connection()
{
    if (!connection_open_)
        return;
    connection_open_ = false;
    disarm(timer::head);
    disarm(timer::stall);
    emit(keep_connection{connection_});
}

void life::drop_grant()
{
    if (!std::exchange(in_dispatch_, false))
        return;
    emit(leave_dispatch{ask_});
}

void life::settle_claim_with(core::outcome result)
{
    const auto state = claim_;
    if (state != claim_state::pending && state != claim_state::held)
        return;
    claim_ = claim_state::given_up;
    if (state == claim_state::pending || whole_effect() == effect::none)
        emit(release_claim{});
    else
        emit(settle_claim{result});
}

} // namespace godwit::request
