// What goes wrong between the proxy and backend servers.

#include <godwit/request/life.hpp>

#include "life_emit.hpp"

#include <algorithm>

namespace godwit::request {

void life::on(const link_broken& what)
{
    if (current(what.connection))
        on_lost_link(observation::broke, fail_reason::link_broken);
}

void life::on_lost_link(observation seen, fail_reason reason)
{
    report(seen);
    drop_connection();
    if (step_ == step::last_token) {
        // Every token is here; only the end marker is missing.
        finish_answer();
        return;
    }
    if (!resuming_ && attempt_effect_ == effect::none) {
        retry_elsewhere(reason);
        return;
    }
    if (can_resume())
        try_to_resume(reason);
    else
        on_lost_server(reason);
}

// The generation may be alive behind a broken link. While nothing reached the
// caller and it may run again, one try is enough: going elsewhere costs less
// silence than waiting.
void life::try_to_resume(fail_reason reason)
{
    const std::uint32_t limit = may_run_again() ? 1 : settings_.resume_limit;
    if (resume_tries_ >= limit) {
        on_lost_server(reason);
        return;
    }
    resuming_ = true;
    step_ = step::resuming;
    arm(timer::retry, next_backoff(resume_tries_));
    ++resume_tries_;
}

void life::on_lost_server(fail_reason reason)
{
    record(decision::generation_abandoned, to_string(reason));
    if (may_run_again())
        retry_elsewhere(reason);
    else
        fail(reason);
}

void life::retry_elsewhere(fail_reason reason)
{
    if (attempt_ >= settings_.attempt_limit) {
        fail(fail_reason::attempts_exhausted);
        return;
    }
    // An attempt that handed nothing over cost no backend server anything,
    // and is bounded by the limit of attempts alone.
    if (attempt_effect_ != effect::none && !budget_->try_spend(now_)) {
        fail(fail_reason::retry_budget);
        return;
    }
    record(decision::request_retried, to_string(reason));
    if (attempt_effect_ != effect::none && can_resume())
        emit(cancel_generation{server_, generation_});
    if (received_ > 0)
        emit(discard_kept{});
    drop_connection();
    drop_grant();
    excluded_.push_back(server_);
    earlier_effect_ = whole_effect();
    attempt_effect_ = effect::none;
    resuming_ = false;
    resume_tries_ = 0;
    received_ = 0;
    generation_ = core::generation_id();
    step_ = step::queued;
    arm(timer::retry, next_backoff(attempt_ - 1));
}

void life::on(const timer_fired& what)
{
    auto& due = timers_.at(static_cast<std::size_t>(what.which));
    if (!due || now_ < *due)
        return;
    due.reset();
    switch (what.which) {
    case timer::deadline:
        give_up_on_caller(fail_reason::deadline);
        return;
    case timer::claim:
        fail(attached_ ? fail_reason::holder_lost : fail_reason::claim_timeout);
        return;
    case timer::connect:
        on_lost_link(observation::timed_out, fail_reason::backend_server_lost);
        return;
    case timer::head:
    case timer::stall:
        record(decision::connection_abandoned, "nothing arrived in time");
        on_lost_link(observation::timed_out, fail_reason::link_broken);
        return;
    case timer::retry:
        if (resuming_)
            connect();
        else
            ask_for_server();
        return;
    case timer::orphan:
        record(decision::caller_left, "nobody took the generation over");
        fail(fail_reason::caller_gone);
        return;
    case timer::end:
        drop_connection();
        finish_answer();
        return;
    }
}

} // namespace godwit::request
