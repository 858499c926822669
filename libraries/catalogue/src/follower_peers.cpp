// The follower among its peers: what they hold, what comes from them, and
// what they are told.

#include <godwit/catalogue/follower.hpp>

#include <godwit/catalogue/fold.hpp>
#include <godwit/catalogue/neighbours.hpp>

#include <algorithm>
#include <utility>

namespace godwit::catalogue {

namespace {

constexpr std::size_t maximum_holders = 64;

} // namespace

void follower::on(const peer_digest& event)
{
    const std::uint64_t own = content_->next_offset();
    if (event.next_offset <= own) {
        compare(event.peer.value(), event.next_offset, event.hash);
        if (event.next_offset < own && ready_)
            actions_.emplace_back(make_digest({event.peer}));
        const bool confirms = event.next_offset == own && event.age &&
                              diverging_.count(event.peer.value()) == 0;
        if (confirms) {
            const core::time_point at = now_ - *event.age;
            confirmed_at_ = std::max(confirmed_at_.value_or(at), at);
        }
        return;
    }
    if (!candidate_) {
        candidate_ = candidate_peer{event.peer, event.next_offset, now_};
        return;
    }
    if (event.next_offset > candidate_->next_offset && !pull_since_) {
        candidate_->peer = event.peer;
        candidate_->next_offset = event.next_offset;
    }
}

void follower::on(const peer_pull& event)
{
    // Before it is ready, a host's content may be an old one.
    if (!ready_)
        return;
    if (event.next_offset >= content_->next_offset()) {
        actions_.emplace_back(make_digest({event.peer}));
        return;
    }
    auto records = window_.read(event.next_offset);
    if (records.empty()) {
        actions_.emplace_back(send_snapshot{
            event.peer,
            content_,
            newest_checkpoint_.value_or(checkpoint_info{})});
        return;
    }
    const auto hash = window_.hash_at(records.back().offset + 1);
    actions_.emplace_back(
        send_records{event.peer, std::move(records), hash.value_or(0)});
}

void follower::on(const peer_records& event)
{
    pull_since_.reset();
    // Folded on the side first: what leads to another hash than the
    // peer's must not come into force.
    state_pointer trial = content_;
    for (const record& each : event.records) {
        if (each.offset == trial->next_offset())
            trial = fold(trial, each).next;
    }
    if (trial == content_) {
        candidate_.reset();
        return;
    }
    const bool complete =
        trial->next_offset() == event.records.back().offset + 1;
    if (!complete || trial->hash() != event.end_hash) {
        candidate_.reset();
        if (complete && diverging_.size() < maximum_holders) {
            diverging_.insert(event.peer.value());
            raise(
                alarm_kind::two_contents,
                trial->next_offset(),
                "records of " + event.peer.value() +
                    " lead to another hash and were not applied; compare "
                    "the state dumps and restart the host that is wrong");
        }
        return;
    }
    for (const record& each : event.records) {
        if (each.offset == content_->next_offset())
            fold_one(each);
    }
    adopt(content_, catalogue_source::peer);
}

void follower::on(const peer_snapshot& event)
{
    pull_since_.reset();
    if (!event.content ||
        event.content->next_offset() <= content_->next_offset()) {
        candidate_.reset();
        return;
    }
    window_.clear();
    const bool newer =
        !newest_checkpoint_ ||
        newest_checkpoint_->state_offset < event.newest_checkpoint.state_offset;
    if (newer && event.newest_checkpoint.time_ms != 0) {
        newest_checkpoint_ = event.newest_checkpoint;
        checkpoint_seen_at_ = now_;
        checkpoint_came_live_ = false;
    }
    adopt(event.content, catalogue_source::peer);
}

void follower::on(const pull_failed&)
{
    pull_since_.reset();
    candidate_.reset();
}

void follower::on(const members_changed& event)
{
    members_ = event.members;
    neighbours_ =
        choose_neighbours(settings_.self, members_, settings_.neighbour_count);
    // Hosts that are gone have no say; the others speak again in a second.
    agreeing_.clear();
}

std::optional<std::uint64_t>
follower::own_hash_at(std::uint64_t next_offset) const
{
    if (next_offset == content_->next_offset())
        return content_->hash();
    return window_.hash_at(next_offset);
}

bool follower::peers_agree() const
{
    // A wrong host sees all others disagree and writes nothing; the others
    // must go on, or the log would end up without a checkpoint.
    const std::size_t against =
        diverging_.size() - diverging_.count(checkpoint_holder);
    const std::size_t with =
        agreeing_.size() - agreeing_.count(checkpoint_holder);
    return against == 0 || with > against;
}

void follower::compare(
    const std::string& holder, std::uint64_t next_offset, std::uint64_t hash)
{
    const auto own = own_hash_at(next_offset);
    if (!own || next_offset == 0)
        return;
    if (*own == hash) {
        if (agreeing_.size() < maximum_holders)
            agreeing_.insert(holder);
        diverging_.erase(holder);
        if (diverging_.empty())
            clear(alarm_kind::two_contents);
        return;
    }
    agreeing_.erase(holder);
    if (diverging_.size() < maximum_holders)
        diverging_.insert(holder);
    raise(
        alarm_kind::two_contents,
        next_offset,
        holder + " has another content at offset " +
            std::to_string(next_offset) +
            "; compare the state dumps and restart the host that is wrong");
}

void follower::note_progress()
{
    // The log gets its grace anew while it brings records.
    if (candidate_)
        candidate_->since = now_;
}

void follower::pull_if_behind()
{
    if (candidate_ && content_->next_offset() >= candidate_->next_offset)
        candidate_.reset();
    if (!candidate_ || pull_since_)
        return;
    const bool log_may_bring_it = ready_ && log_available_ && !search_from_;
    if (log_may_bring_it && now_ - candidate_->since < settings_.log_grace)
        return;
    pull_since_ = now_;
    actions_.emplace_back(
        pull_from_peer{candidate_->peer, content_->next_offset()});
}

void follower::tell_neighbours()
{
    if (!ready_ || neighbours_.empty())
        return;
    const bool changed = told_offset_ != content_->next_offset();
    const core::duration wait =
        changed ? settings_.digest_spacing : settings_.digest_interval;
    if (told_at_ && now_ - *told_at_ < wait)
        return;
    told_at_ = now_;
    told_offset_ = content_->next_offset();
    actions_.emplace_back(make_digest(neighbours_));
}

send_digest follower::make_digest(std::vector<core::host_name> peers) const
{
    return {std::move(peers), content_->next_offset(), content_->hash(), age()};
}

} // namespace godwit::catalogue
