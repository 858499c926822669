#include <godwit/request/life.hpp>

#include <algorithm>
#include <utility>

#include "life_emit.hpp"

namespace godwit::request {

core::result<life> life::create(
    const life_settings& settings,
    core::request_id id,
    retry_budget& budget,
    std::uint64_t seed)
{
    const std::array spans = {
        settings.claim_wait,
        settings.holder_wait,
        settings.connect_wait,
        settings.head_wait,
        settings.resume_wait,
        settings.first_token_wait,
        settings.stall_wait,
        settings.preempted_wait,
        settings.end_wait,
        settings.orphan_wait,
        settings.backoff_base,
        settings.backoff_limit,
        settings.retry_after,
    };
    const auto is_positive = [](core::duration span) {
        return span > core::duration::zero();
    };
    if (!std::all_of(spans.begin(), spans.end(), is_positive)) {
        return core::fail(
            core::error_kind::invalid_input,
            "a time limit of requests is not above zero",
            "set every time limit to at least a microsecond");
    }
    if (settings.attempt_limit == 0 || settings.resume_limit == 0) {
        return core::fail(
            core::error_kind::invalid_input,
            "requests are allowed no attempt or no resume",
            "set both limits to 1 or more");
    }
    return life(settings, std::move(id), budget, seed);
}

life::life(
    const life_settings& settings,
    core::request_id id,
    retry_budget& budget,
    std::uint64_t seed)
    : settings_(settings), id_(std::move(id)), budget_(&budget), random_(seed)
{}

std::vector<action> life::handle(const event& what, core::time_point now)
{
    now_ = now;
    if (finished())
        handle_after_end(what);
    else
        std::visit([this](const auto& one) { on(one); }, what);
    return std::exchange(actions_, {});
}

// What was asked for and comes too late is given back.
void life::handle_after_end(const event& what)
{
    if (const auto* late = std::get_if<granted>(&what))
        emit(leave_dispatch{late->ask});
    if (std::holds_alternative<claim_won>(what))
        emit(release_claim{});
}

resume_position life::position() const
{
    return {server_, generation_, delivered_};
}

bool life::current(std::uint32_t connection) const noexcept
{
    return connection_open_ && connection == connection_;
}

bool life::is_generation() const noexcept
{
    return request_.kind == request_kind::generation;
}

bool life::needs_claim() const noexcept
{
    return request_.repeat == repeatability::not_repeatable &&
           request_.dedup == deduplication::none && request_.key.has_value();
}

// A new run is a splice once the caller has a token of the old one, and a
// continued stream has had tokens at another entry host.
bool life::may_run_again() const noexcept
{
    if (delivered_ > 0 || request_.resume)
        return false;
    if (whole_effect() == effect::none)
        return true;
    const bool deduplicated =
        request_.dedup == deduplication::by_service && request_.key;
    return request_.repeat == repeatability::repeatable || deduplicated;
}

// A run that may not be repeated is never cut short for its caller's sake:
// the caller's retry is to find its answer.
bool life::must_run_on() const noexcept
{
    return request_.repeat == repeatability::not_repeatable &&
           whole_effect() != effect::none && !request_.resume;
}

// Only tokens can be continued, and only what has an id on the engine.
bool life::can_resume() const noexcept
{
    return is_generation() && !generation_.empty();
}

life::effect life::whole_effect() const noexcept
{
    return std::max(attempt_effect_, earlier_effect_);
}

// The outcome if the request ended now (DESIGN 4.1). For a request with an
// idempotency key that may not be repeated, "the request" is every try under
// that key. Until this host holds the claim, an earlier try through another
// entry host may have run, so `not_run` would be a guess.
core::outcome life::outcome_now() const noexcept
{
    switch (whole_effect()) {
    case effect::certain:
        return core::outcome::interrupted;
    case effect::possible:
        return core::outcome::unknown;
    case effect::none:
        break;
    }
    const bool earlier_tries_excluded =
        request_.repeat == repeatability::repeatable || !request_.key ||
        claim_ == claim_state::held;
    return earlier_tries_excluded ? core::outcome::not_run
                                  : core::outcome::unknown;
}

// Full jitter below an exponentially growing limit, so that requests that
// failed together do not come back together.
core::duration life::next_backoff(std::uint32_t tries)
{
    core::duration limit = settings_.backoff_base;
    for (std::uint32_t done = 0; done < tries; ++done)
        limit = std::min(limit * 2, settings_.backoff_limit);
    const auto span = static_cast<std::uint64_t>(limit.count());
    return core::duration(
        static_cast<core::duration::rep>(random_.below(span) + 1));
}

void life::arm(timer which, core::duration after)
{
    const auto at = now_ + after;
    timers_.at(static_cast<std::size_t>(which)) = at;
    emit(set_timer{which, at});
}

void life::disarm(timer which) noexcept
{
    timers_.at(static_cast<std::size_t>(which)).reset();
}

void life::disarm_all() noexcept
{
    timers_.fill(std::nullopt);
}

void life::record(decision what, std::string_view why)
{
    decision_record entry;
    entry.request = id_;
    entry.at = now_;
    entry.during = step_;
    entry.what = what;
    entry.why = std::string(why);
    entry.server = server_;
    entry.delivered = delivered_;
    emit(record_decision{std::move(entry)});
}

void life::report(observation seen)
{
    if (!server_.empty())
        emit(report_server{server_, seen});
}

} // namespace godwit::request
