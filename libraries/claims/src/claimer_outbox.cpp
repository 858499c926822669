// The claimer's way to the log: batches, forwarding, pacing.

#include "claimer_state.hpp"

#include <algorithm>
#include <utility>

namespace godwit::claims {

namespace {

// How long a batch writer that failed is left alone.
constexpr core::duration avoid_peer = std::chrono::seconds(1);

const claim_key& key_of(const record_entry& entry)
{
    return std::visit(
        [](const auto& value) -> const claim_key& { return value.key; }, entry);
}

} // namespace

outbox::item_id claimer::state::send(record_entry entry, core::duration gather)
{
    const auto& writer = plan_.writer_of(key_of(entry));
    const auto avoided = avoided_peers_.find(writer);
    const bool direct =
        writer == settings_.host ||
        (avoided != avoided_peers_.end() && now_ < avoided->second);
    if (direct)
        return outbox_.add(std::move(entry), now_ + gather, now_);
    forwards_[writer].push_back(entry);
    ++counts_.entries_forwarded;
    const auto item = outbox_.add(std::move(entry), now_, now_);
    outbox_.mark_forwarded(item, writer, now_);
    return item;
}

void claimer::state::release(const claim_key& key, claim_position position)
{
    const bool known = releasing(key);
    if (known)
        return;
    ++counts_.releases;
    send(release_entry{key, position}, settings_.gather);
}

bool claimer::state::releasing(const claim_key& key) const
{
    return outbox_.any_of([&key](const outbox_item& item) {
        const auto* release = std::get_if<release_entry>(&item.entry);
        return !item.foreign && release != nullptr && release->key == key;
    });
}

core::duration claimer::state::gather_for(const record_entry& entry) const
{
    return std::holds_alternative<finished_entry>(entry)
               ? settings_.finished_gather
               : settings_.gather;
}

void claimer::state::on(const claims_forwarded& event)
{
    if (log_down_ ||
        outbox_.size() + event.entries.size() > settings_.pending_limit) {
        actions_.emplace_back(decline_forwarded{event.from});
        return;
    }
    for (const auto& entry : event.entries)
        outbox_.add_foreign(entry, event.from, now_ + gather_for(entry), now_);
}

void claimer::state::decline_foreign()
{
    std::vector<core::host_name> origins;
    outbox_.remove_if([&origins](const outbox_item& item) {
        if (item.foreign)
            origins.push_back(item.peer);
        return item.foreign;
    });
    std::sort(origins.begin(), origins.end());
    origins.erase(std::unique(origins.begin(), origins.end()), origins.end());
    for (auto& origin : origins)
        actions_.emplace_back(decline_forwarded{std::move(origin)});
}

void claimer::state::on(const forward_refused& event)
{
    avoided_peers_.insert_or_assign(event.to, now_ + avoid_peer);
    outbox_.requeue_if(
        [&event](const outbox_item& item) {
            return item.stage == outbox_stage::forwarded &&
                   item.peer == event.to;
        },
        now_,
        now_);
}

void claimer::state::time_out_forwards()
{
    const auto late = now_ - settings_.forward_timeout;
    const auto is_late = [late](const outbox_item& item) {
        return item.stage == outbox_stage::forwarded && item.since <= late;
    };
    outbox_.for_each([&](const outbox_item& item) {
        if (is_late(item))
            avoided_peers_.insert_or_assign(item.peer, now_ + avoid_peer);
    });
    // The peer may be at fault, or this host no longer sees the log.
    if (outbox_.any_of(is_late))
        settle_wanted_ = true;
    outbox_.requeue_if(is_late, now_, now_);
}

void claimer::state::time_out_appends()
{
    const auto before = now_ - settings_.append_timeout + core::duration(1);
    for (const auto append : outbox_.appends_begun_before(before))
        on(append_lost{append});
    const auto unsettled = outbox_.oldest(outbox_stage::unsettled);
    if (unsettled && *unsettled < before)
        settle_wanted_ = true;
}

void claimer::state::flush()
{
    while (now_ >= appends_held_until_ && outbox_.due(now_) &&
           outbox_.appends_under_way() < settings_.appends_in_flight_limit &&
           budget_.take(now_)) {
        auto batch = outbox_.start_append(now_);
        if (!batch)
            return;
        ++counts_.appends;
        actions_.emplace_back(std::move(*batch));
    }
}

void claimer::state::flush_forwards()
{
    for (auto& [host, entries] : forwards_)
        actions_.emplace_back(forward_claims{host, std::move(entries)});
    forwards_.clear();
    std::erase_if(avoided_peers_, [this](const auto& item) {
        return item.second <= now_;
    });
}

void claimer::state::read()
{
    if (settle_wanted_) {
        if (auto settling = reader_.settle(ledger_.next(), now_)) {
            settle_wanted_ = false;
            actions_.emplace_back(*settling);
        }
    }
    if (auto poll = reader_.poll(ledger_.next(), now_))
        actions_.emplace_back(*poll);
}

} // namespace godwit::claims
