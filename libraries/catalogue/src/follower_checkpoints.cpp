// The follower's checkpoints: found in the log where its beginning is gone,
// and written anew before they are too old.

#include <godwit/catalogue/follower.hpp>

#include <godwit/catalogue/checkpoint_codec.hpp>
#include <godwit/catalogue/neighbours.hpp>
#include <godwit/catalogue/tombstone_drop.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace godwit::catalogue {

void follower::search_checkpoint(const log_records& event)
{
    search_from_ = std::max(search_from_.value_or(0), event.first);
    for (const record& each : event.records) {
        if (each.offset < *search_from_)
            continue;
        search_from_ = each.offset + 1;
        auto found = assembler_.offer(each);
        // Records between the checkpoint's state and the oldest kept one
        // would be missing.
        if (!found || found->state_offset < event.first)
            continue;
        if (auto content = restore(*found)) {
            take_checkpoint(*found, std::move(*content));
            return;
        }
    }
    if (*search_from_ < event.next)
        return;
    raise(
        alarm_kind::trimmed_without_checkpoint,
        event.first,
        "the log begins at " + std::to_string(event.first) +
            " and has no usable checkpoint for this host, which is at " +
            std::to_string(content_->next_offset()) +
            "; start it where it reaches a peer with a catalogue, or publish "
            "the whole catalogue again");
}

void follower::take_checkpoint(const checkpoint& found, state_pointer content)
{
    window_.clear();
    adopt(std::move(content), catalogue_source::checkpoint);
    note_checkpoint(found);
}

void follower::note_checkpoint(const checkpoint& found)
{
    constexpr std::size_t maximum_completed = 8;
    const std::uint64_t offset = found.state_offset;
    compare(checkpoint_holder, offset, found.hash);
    const auto own = own_hash_at(offset);
    // Where the own hash tells, the content need not be rebuilt, which
    // takes tens of milliseconds. Another content is no checkpoint to
    // rely on.
    if (own ? *own != found.hash : !restore(found))
        return;
    if (own_checkpoint_ && own_checkpoint_->content->next_offset() <= offset)
        own_checkpoint_.reset();
    if (newest_checkpoint_ && newest_checkpoint_->state_offset >= offset)
        return;
    newest_checkpoint_ = checkpoint_info{offset, found.time_ms};
    checkpoint_seen_at_ = now_;
    checkpoint_came_live_ = was_caught_up_;
    checkpoint_due_since_.reset();
    completed_.push_back({offset, found.last_record});
    if (completed_.size() > maximum_completed)
        completed_.erase(completed_.begin());
}

void follower::keep_checkpoint_young()
{
    const bool may_write = ready_ && is_caught_up() && peers_agree();
    if (!may_write)
        return;
    if (own_checkpoint_) {
        complete_own_checkpoint();
        return;
    }
    if (checkpoint_age() < settings_.checkpoint_interval) {
        checkpoint_due_since_.reset();
        return;
    }
    // The delay counts from here: a checkpoint may be long overdue, and
    // then all hosts notice at once.
    if (!checkpoint_due_since_)
        checkpoint_due_since_ = now_;
    const std::uint64_t last =
        newest_checkpoint_ ? newest_checkpoint_->state_offset : 0;
    const auto rank = static_cast<core::duration::rep>(rank_for(
        "checkpoint/" + std::to_string(last), settings_.self, members_));
    if (now_ - *checkpoint_due_since_ < rank * settings_.checkpoint_rank_step)
        return;
    const bool other_writes =
        chunk_seen_at_ &&
        now_ - *chunk_seen_at_ < settings_.checkpoint_rank_step;
    if (!other_writes)
        append_checkpoint();
}

void follower::append_checkpoint()
{
    auto records = write_checkpoint(*content_);
    // The others take a checkpoint by its hash, so its writer makes sure.
    const auto written = read_checkpoint(records);
    assert(written && (*written)->hash() == content_->hash());
    if (!written)
        return;
    own_checkpoint_ = own_checkpoint{content_, now_};
    actions_.emplace_back(append_records{std::move(records)});
}

void follower::complete_own_checkpoint()
{
    if (now_ - own_checkpoint_->appended_at < settings_.checkpoint_retry)
        return;
    const state& content = *own_checkpoint_->content;
    if (content.next_offset() < log_first_) {
        // Too old to restore from by now.
        own_checkpoint_.reset();
        return;
    }
    const auto seen = assembler_.seen(content.next_offset(), content.hash());
    auto records = write_checkpoint(content);
    append_records missing;
    for (std::uint32_t index = 0; index < records.size(); ++index) {
        if (seen.count(index) == 0)
            missing.records.push_back(std::move(records[index]));
    }
    own_checkpoint_->appended_at = now_;
    actions_.emplace_back(std::move(missing));
}

core::duration follower::checkpoint_age() const
{
    if (!newest_checkpoint_)
        return settings_.checkpoint_interval;
    const core::duration watched = now_ - checkpoint_seen_at_;
    // A host that was just started did not see the checkpoint come; the
    // log's own time tells its age, as far as the clocks agree. Where it
    // saw it come, a clock that is wrong must not make it write for ever.
    const std::uint64_t written = newest_checkpoint_->time_ms;
    if (checkpoint_came_live_ || written == 0 || wall_time_ms_ <= written)
        return watched;
    const core::duration dated =
        std::chrono::milliseconds(wall_time_ms_ - written);
    return std::max(watched, dated);
}

void follower::drop_old_tombstones()
{
    if (!ready_ || !is_caught_up() || content_->tombstones().size() == 0)
        return;
    if (drop_checked_at_ &&
        now_ - *drop_checked_at_ < settings_.checkpoint_rank_step)
        return;
    drop_checked_at_ = now_;
    const std::uint64_t below = droppable_below();
    bool any = false;
    content_->tombstones().for_each(
        [&any, below](const std::string&, const tombstone& each) {
            any |= each.version <= below;
        });
    if (!any || !peers_agree()) {
        drop_rounds_ = 0;
        return;
    }
    const std::size_t rank = rank_for(
        "tombstones/" + std::to_string(below), settings_.self, members_);
    if (drop_rounds_++ < rank)
        return;
    drop_rounds_ = 0;
    actions_.emplace_back(
        append_records{{serialise_record(tombstone_drop{below})}});
}

std::uint64_t follower::droppable_below() const
{
    const bool replaced =
        newest_checkpoint_ && newest_checkpoint_->state_offset >= log_first_;
    std::uint64_t below = 0;
    for (const completed_checkpoint& each : completed_) {
        if (replaced && each.last_record < log_first_)
            below = std::max(below, each.state_offset);
    }
    return below;
}

} // namespace godwit::catalogue
