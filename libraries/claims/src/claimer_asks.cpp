// The claimer's dealings with the proxies: asks, releases, ends of runs.

#include "claimer_state.hpp"

#include <algorithm>
#include <utility>

namespace godwit::claims {

namespace {

// Asks of one proxy for one key while its claim is settled; more are retries
// gone wild.
constexpr std::size_t asks_per_key_limit = 16;

// Proxies that are gone, remembered for `claim_held::holder_gone`.
constexpr std::size_t gone_limit = 256;

constexpr core::duration retry_base = std::chrono::seconds(1);
constexpr core::duration retry_releasing = std::chrono::milliseconds(200);

} // namespace

void claimer::state::on(const claim_asked& event)
{
    ++counts_.asked;
    jitter_ = now_ + core::duration(static_cast<core::duration::rep>(
                         random_.below(retry_base.count())));
    if (auto known = known_answer(event.key, event.request, event.holder))
        return answer(event.ask, event.holder, *known);
    if (auto refused = refusal(event))
        return answer(event.ask, event.holder, *refused);
    const auto work = works_.find(event.key);
    if (work != works_.end())
        return join_work(work->second, event);
    start_work(event);
}

// What the ledger already settles; nothing if the key is free.
std::optional<claim_answer> claimer::state::known_answer(
    const claim_key& key,
    const request_fingerprint& request,
    const claim_holder& asking) const
{
    const auto known = ledger_.find(key, request, log_now());
    if (const auto* held = std::get_if<key_held>(&known)) {
        if (held->holder == asking && releasing(key))
            return unavailable(unavailable_reason::releasing);
        return held_answer(held->holder, held->position);
    }
    if (const auto* finished = std::get_if<key_finished>(&known))
        return claim_finished{
            finished->holder,
            finished->position,
            finished->outcome,
            finished->answer_digest};
    if (std::holds_alternative<key_outside_window>(known))
        return claim_outside_window{};
    if (std::holds_alternative<key_reused>(known))
        return claim_key_reused{};
    if (std::holds_alternative<history_incomplete>(known))
        return unavailable(unavailable_reason::history_incomplete);
    if (std::holds_alternative<ledger_full>(known))
        return unavailable(unavailable_reason::overloaded);
    return std::nullopt;
}

claim_held claimer::state::held_answer(
    const claim_holder& holder, claim_position position) const
{
    return {holder, position, is_gone(holder.incarnation)};
}

// Why a free key cannot be claimed now; nothing if it can.
std::optional<claim_answer>
claimer::state::refusal(const claim_asked& event) const
{
    if (!event.holder.valid())
        return unavailable(unavailable_reason::invalid_holder);
    if (log_down_)
        return unavailable(unavailable_reason::log_down);
    if (!caught_up_)
        return unavailable(unavailable_reason::catching_up);
    const auto work = works_.find(event.key);
    if (work == works_.end()) {
        if (outbox_.size() >= settings_.pending_limit)
            return unavailable(unavailable_reason::overloaded);
        return std::nullopt;
    }
    if (work->second.request != event.request)
        return claim_key_reused{};
    if (work->second.holder != event.holder)
        return unavailable(unavailable_reason::releasing);
    if (work->second.asks.size() >= asks_per_key_limit)
        return unavailable(unavailable_reason::overloaded);
    return std::nullopt;
}

claim_unavailable claimer::state::unavailable(unavailable_reason reason) const
{
    if (reason == unavailable_reason::releasing)
        return {reason, retry_releasing};
    // Callers who were turned away together do not come back together.
    return {reason, retry_base + std::max(core::duration(0), jitter_ - now_)};
}

void claimer::state::join_work(claim_work& work, const claim_asked& event)
{
    work.asks.push_back(event.ask);
}

void claimer::state::start_work(const claim_asked& event)
{
    claim_work work{event.request, event.holder, {event.ask}, now_, 0};
    work.item = send(
        claim_entry{
            event.key,
            event.request,
            event.holder,
            {settings_.claimer, ++last_attempt_}},
        settings_.gather);
    works_.emplace(event.key, std::move(work));
}

void claimer::state::answer(
    std::uint64_t ask, const claim_holder& holder, const claim_answer& value)
{
    if (std::holds_alternative<claim_won>(value))
        ++counts_.won;
    else if (std::holds_alternative<claim_held>(value))
        ++counts_.held;
    else if (std::holds_alternative<claim_unavailable>(value))
        ++counts_.unavailable;
    actions_.emplace_back(answer_ask{ask, holder, value});
}

void claimer::state::answer_work(
    work_map::iterator work, const claim_answer& value)
{
    for (const auto ask : work->second.asks)
        answer(ask, work->second.holder, value);
    // The claim may still reach the log; it is released when it is seen.
    outbox_.remove(work->second.item);
    works_.erase(work);
}

void claimer::state::answer_all_works(unavailable_reason reason)
{
    while (!works_.empty())
        answer_work(works_.begin(), unavailable(reason));
}

void claimer::state::give_up_late_works()
{
    for (auto work = works_.begin(); work != works_.end();) {
        const auto candidate = work++;
        if (now_ - candidate->second.asked_at >= settings_.ask_timeout)
            answer_work(candidate, unavailable(unavailable_reason::timed_out));
    }
}

void claimer::state::on(const ask_withdrawn& event)
{
    const auto work = works_.find(event.key);
    if (work == works_.end())
        return;
    std::erase(work->second.asks, event.ask);
    if (!work->second.asks.empty())
        return;
    outbox_.remove(work->second.item);
    works_.erase(work);
}

// The position names one claim, so that a release can neither meet a later
// claim of the key nor do harm when it comes twice.
void claimer::state::on(const release_asked& event)
{
    release(event.key, event.position);
}

void claimer::state::on(const run_finished& event)
{
    if (outbox_.size() >= 2 * settings_.pending_limit)
        return;
    send(
        finished_entry{
            event.key,
            event.position,
            event.request,
            event.holder,
            event.outcome,
            event.answer_digest},
        settings_.finished_gather);
}

// A claim that was granted stays with the proxy that is gone: whether it ran
// is not known. One that was not granted is released when it is seen.
void claimer::state::on(const proxy_gone& event)
{
    for (auto work = works_.begin(); work != works_.end();) {
        const auto candidate = work++;
        if (candidate->second.holder.incarnation != event.incarnation)
            continue;
        outbox_.remove(candidate->second.item);
        works_.erase(candidate);
    }
    if (is_gone(event.incarnation))
        return;
    gone_.push_back(event.incarnation);
    if (gone_.size() > gone_limit)
        gone_.pop_front();
}

bool claimer::state::is_gone(const core::incarnation_id& incarnation) const
{
    return std::find(gone_.begin(), gone_.end(), incarnation) != gone_.end();
}

} // namespace godwit::claims
