// What the claimer learns from the log, and what follows for its asks.

#include "claimer_state.hpp"

#include <algorithm>

namespace godwit::claims {

void claimer::state::on(const records_read& event)
{
    const auto read = reader_.finish(event.read);
    if (!read)
        return;
    if (event.next < read->from) {
        // Offsets only grow: this is another log, or one that lost records
        // which claims rest on. Nothing is granted on it.
        actions_.emplace_back(raise_alarm{claims_alarm::log_went_back});
        return log_is_down();
    }
    log_is_up();
    const auto changes = ledger_.fold(event.first, event.records, log_now());
    if (!event.records.empty())
        newest_read_at_ = now_;
    const bool caught_up = ledger_.next() >= event.next;
    caught_up_ = caught_up_ || caught_up;
    take_changes(changes);
    settle_items(*read, caught_up);
}

void claimer::state::on(const read_failed& event)
{
    if (reader_.finish(event.read))
        log_is_down();
}

void claimer::state::take_changes(const std::vector<ledger_change>& changes)
{
    for (const auto& change : changes) {
        if (change.attempt && change.attempt->claimer == settings_.claimer)
            take_own_claim(change);
        settle_work(change.key);
    }
}

// Each claim of this claimer is either granted at the moment it is seen to
// hold its key, or released; so none is granted twice or left behind.
void claimer::state::take_own_claim(const ledger_change& change)
{
    if (change.effect == claim_effect::no_room)
        return release(change.key, change.position);
    if (change.effect == claim_effect::holds && !grant(change))
        release(change.key, change.position);
}

bool claimer::state::grant(const ledger_change& change)
{
    const auto work = works_.find(change.key);
    if (work == works_.end())
        return false;
    const auto known =
        ledger_.find(change.key, work->second.request, log_now());
    const auto* held = std::get_if<key_held>(&known);
    if (held == nullptr || held->holder != work->second.holder)
        return false;
    const auto start_before = work->second.asked_at + settings_.start_limit;
    answer(
        work->second.asks.front(),
        work->second.holder,
        claim_won{change.position, start_before});
    work->second.asks.erase(work->second.asks.begin());
    answer_work(work, held_answer(held->holder, held->position));
    return true;
}

void claimer::state::settle_work(const claim_key& key)
{
    const auto work = works_.find(key);
    if (work == works_.end())
        return;
    if (const auto known =
            known_answer(key, work->second.request, work->second.holder))
        answer_work(work, *known);
}

bool claimer::state::is_settled(const record_entry& entry) const
{
    if (!caught_up_)
        return false;
    if (const auto* release = std::get_if<release_entry>(&entry)) {
        const auto held = ledger_.holder_of(release->key);
        return !held || held->position != release->position;
    }
    if (const auto* finished = std::get_if<finished_entry>(&entry)) {
        const auto held = ledger_.holder_of(finished->key);
        return !held || held->position != finished->position;
    }
    // A claim goes with the work that waits for it.
    return false;
}

// A lost answer is settled by what the log holds: entries seen are done, and
// the others are appended again once a read that began after the loss has
// come to the stream's end without them.
void claimer::state::settle_items(const log_read& read, bool caught_up)
{
    outbox_.remove_if([this](const outbox_item& item) {
        const bool on_the_way = item.stage == outbox_stage::unsettled ||
                                item.stage == outbox_stage::forwarded;
        return !item.foreign && on_the_way && is_settled(item.entry);
    });
    if (!caught_up)
        return;
    outbox_.requeue_if(
        [&read](const outbox_item& item) {
            return item.stage == outbox_stage::unsettled &&
                   item.since <= read.settles;
        },
        now_,
        now_);
}

void claimer::state::on(const append_answered& event)
{
    if (!outbox_.appending(event.append))
        return;
    log_is_up();
    counts_.entries_appended += outbox_.settle_append(event.append, now_);
}

void claimer::state::on(const append_lost& event)
{
    if (!outbox_.appending(event.append))
        return;
    ++counts_.appends_lost;
    outbox_.settle_append(event.append, now_);
    settle_wanted_ = true;
}

void claimer::state::on(const append_refused& event)
{
    if (!outbox_.appending(event.append))
        return;
    const auto wait = std::max(event.retry_after, settings_.gather);
    const auto jitter = core::duration(static_cast<core::duration::rep>(
        random_.below(static_cast<std::uint64_t>(wait.count()) + 1)));
    appends_held_until_ = now_ + wait + jitter;
    outbox_.requeue_append(event.append, appends_held_until_, now_);
}

void claimer::state::on(const append_unavailable& event)
{
    if (!outbox_.appending(event.append))
        return;
    outbox_.requeue_append(event.append, now_ + settings_.log_retry, now_);
    log_is_down();
}

// Asks are answered at once; releases and ends of runs wait in the outbox.
void claimer::state::log_is_down()
{
    log_down_ = true;
    settle_wanted_ = true;
    appends_held_until_ = now_ + settings_.log_retry;
    reader_.fail(now_ + settings_.log_retry);
    answer_all_works(unavailable_reason::log_down);
    decline_foreign();
}

void claimer::state::log_is_up()
{
    log_down_ = false;
    reader_.recover();
}

log_time claimer::state::log_now() const
{
    // The newest record was written before it was read, so this is never
    // ahead of the log's own clock.
    return ledger_.newest() +
           std::chrono::duration_cast<log_time>(now_ - newest_read_at_);
}

} // namespace godwit::claims
