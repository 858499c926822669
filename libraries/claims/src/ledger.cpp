#include <godwit/claims/ledger.hpp>

#include <algorithm>
#include <utility>

namespace godwit::claims {

core::result<ledger> ledger::create(ledger_settings settings)
{
    if (settings.margin < log_time(0) ||
        settings.margin >= settings.retention || settings.entry_limit == 0)
        return core::fail(
            core::error_kind::invalid_input,
            "the claims' margin is not below the log's retention, or the "
            "ledger's limit is zero",
            "set retention to what the log keeps and margin below it");
    return ledger(settings);
}

std::vector<ledger_change> ledger::fold(
    std::uint64_t first, const std::vector<log_record>& records, log_time now)
{
    if (!records.empty())
        now = std::max(now, records.back().time);
    now = std::max(now, newest_);
    note_first(first, now);
    note_hole(first, records, now);
    std::vector<ledger_change> changes;
    for (const auto& record : records) {
        if (record.offset < next_)
            continue;
        fold_record(record, changes);
    }
    return changes;
}

// A claim that this ledger still remembers, but that the log dropped too
// early, is unknown to a host that starts now: operators must hear of it.
void ledger::note_first(std::uint64_t first, log_time now)
{
    if (!started_) {
        started_ = true;
        first_ = first;
        next_ = first;
        return;
    }
    if (first <= first_)
        return;
    first_ = first;
    const auto kept = std::lower_bound(
        by_age_.begin(),
        by_age_.end(),
        first,
        [](const dated_key& dated, std::uint64_t offset) {
            return dated.at.offset < offset;
        });
    if (kept == by_age_.begin())
        return;
    if (now - std::prev(kept)->time < settings_.retention)
        ++early_trims_;
}

// Records trimmed unread are no loss when they are older than the
// retention. They cannot be when the last one read is younger.
void ledger::note_hole(
    std::uint64_t first, const std::vector<log_record>& records, log_time now)
{
    if (first <= next_)
        return;
    next_ = first;
    if (now - newest_ >= settings_.retention)
        return;
    ++early_trims_;
    complete_since_ = records.empty() ? now : records.front().time;
}

void ledger::fold_record(
    const log_record& record, std::vector<ledger_change>& changes)
{
    next_ = record.offset + 1;
    newest_ = std::max(newest_, record.time);
    forget_expired();
    const auto entries = decode_record(record.data);
    if (!entries) {
        ++bad_records_;
        return;
    }
    claim_position at{record.offset, 0};
    for (const auto& entry : *entries) {
        changes.push_back(std::visit(
            [&](const auto& value) { return apply(value, at, record.time); },
            entry));
        ++at.index;
    }
}

ledger_change
ledger::apply(const claim_entry& claim, claim_position at, log_time time)
{
    ledger_change change{claim.key, at, claim.attempt, claim_effect::late};
    if (entries_.contains(claim.key))
        return change;
    const bool remembered = remember(
        claim.key,
        tenure{intern(claim.holder), claim.request, at, claim.attempt, time},
        at);
    change.effect = remembered ? claim_effect::holds : claim_effect::no_room;
    return change;
}

ledger_change
ledger::apply(const release_entry& release, claim_position at, log_time)
{
    const auto known = entries_.find(release.key);
    if (known != entries_.end() && !known->second.finished &&
        known->second.position == release.position)
        entries_.erase(known);
    return {release.key, at, std::nullopt, claim_effect::none};
}

ledger_change
ledger::apply(const finished_entry& finished, claim_position at, log_time time)
{
    const ledger_change change{
        finished.key, at, std::nullopt, claim_effect::none};
    const auto known = entries_.find(finished.key);
    if (known == entries_.end()) {
        // The claim was trimmed before this host began to read.
        tenure value{
            intern(finished.holder),
            finished.request,
            finished.position,
            {},
            time};
        value.finished = true;
        value.outcome = finished.outcome;
        value.answer_digest = finished.answer_digest;
        remember(finished.key, std::move(value), at);
        return change;
    }
    if (known->second.position != finished.position || known->second.finished)
        return change;
    known->second.finished = true;
    known->second.outcome = finished.outcome;
    known->second.answer_digest = finished.answer_digest;
    return change;
}

bool ledger::remember(const claim_key& key, tenure value, claim_position at)
{
    // Released keys leave their place in the order of age behind, so that
    // both are bounded.
    if (entries_.size() >= settings_.entry_limit ||
        by_age_.size() >= 2 * settings_.entry_limit) {
        overflowed_at_ = value.time;
        return false;
    }
    by_age_.push_back({value.time, key, at, value.position});
    entries_.emplace(key, std::move(value));
    return true;
}

void ledger::forget_expired()
{
    bool forgot = false;
    while (!by_age_.empty() &&
           newest_ - by_age_.front().time > settings_.retention) {
        const auto& oldest = by_age_.front();
        const auto known = entries_.find(oldest.key);
        if (known != entries_.end() &&
            known->second.position == oldest.position)
            entries_.erase(known);
        by_age_.pop_front();
        forgot = true;
    }
    if (forgot)
        std::erase_if(
            holders_, [](const auto& item) { return item.second.expired(); });
}

std::shared_ptr<const claim_holder> ledger::intern(const claim_holder& holder)
{
    auto& known = holders_[holder];
    auto shared = known.lock();
    if (!shared) {
        shared = std::make_shared<const claim_holder>(holder);
        known = shared;
    }
    return shared;
}

bool ledger::in_hole(log_time time) const
{
    return complete_since_ && time >= *complete_since_ &&
           time - *complete_since_ < window();
}

bool ledger::overflowed(log_time now) const
{
    if (entries_.size() >= settings_.entry_limit ||
        by_age_.size() >= 2 * settings_.entry_limit)
        return true;
    return overflowed_at_ && now - *overflowed_at_ < window();
}

ledger_state ledger::find(
    const claim_key& key,
    const request_fingerprint& request,
    log_time now) const
{
    now = std::max(now, newest_);
    const auto known = entries_.find(key);
    if (known == entries_.end()) {
        if (in_hole(now))
            return history_incomplete{};
        if (overflowed(now))
            return ledger_full{};
        return key_free{};
    }
    const auto& held = known->second;
    if (held.request != request)
        return key_reused{};
    if (now - held.time > window())
        return key_outside_window{};
    if (in_hole(held.time))
        return history_incomplete{};
    if (held.finished)
        return key_finished{
            *held.holder, held.position, held.outcome, held.answer_digest};
    return key_held{*held.holder, held.position, held.attempt};
}

std::optional<key_held> ledger::holder_of(const claim_key& key) const
{
    const auto known = entries_.find(key);
    if (known == entries_.end() || known->second.finished)
        return std::nullopt;
    const auto& held = known->second;
    return key_held{*held.holder, held.position, held.attempt};
}

} // namespace godwit::claims
