#include <godwit/catalogue/follower.hpp>

#include <godwit/catalogue/checkpoint_codec.hpp>
#include <godwit/catalogue/fold.hpp>
#include <godwit/catalogue/neighbours.hpp>
#include <godwit/catalogue/tombstone_drop.hpp>

#include <algorithm>
#include <cassert>
#include <utility>

namespace godwit::catalogue {

namespace {

constexpr std::size_t maximum_holders = 64;
const std::string checkpoint_holder = "a checkpoint in the log";

} // namespace

core::result<follower> follower::create(follower_settings settings)
{
    if (settings.self.empty()) {
        return core::fail(
            core::error_kind::invalid_input,
            "the follower has no host name",
            "set the name of this entry host");
    }
    if (settings.read_limit == 0) {
        return core::fail(
            core::error_kind::invalid_input,
            "the read limit is 0",
            "set it to at least 1");
    }
    return follower(std::move(settings));
}

follower::follower(follower_settings settings) : settings_(std::move(settings))
{}

std::vector<follower_action>
follower::handle(const follower_event& event, core::time_point now)
{
    now_ = now;
    const std::uint64_t before = content_->next_offset();
    std::visit([this](const auto& each) { on(each); }, event);
    if (content_->next_offset() > before)
        note_progress();
    become_ready_if_current();
    publish_if_newer();
    pull_if_behind();
    tell_neighbours();
    read_on();
    return std::exchange(actions_, {});
}

void follower::on(const log_records& event)
{
    was_caught_up_ = is_caught_up();
    reading_ = false;
    log_available_ = true;
    log_first_ = event.first;
    log_next_ = event.next;
    if (event.next < event.from) {
        raise(
            alarm_kind::log_went_back,
            event.next,
            "the log ends at " + std::to_string(event.next) + " but record " +
                std::to_string(event.from - 1) +
                " was read from it; the last catalogue stays in force: ask "
                "the platform whether records were lost");
        wait_for_log(settings_.log_retry);
        return;
    }
    const auto reached = [this] {
        return search_from_.value_or(content_->next_offset());
    };
    const std::uint64_t before = reached();
    if (event.first > content_->next_offset())
        search_checkpoint(event);
    else
        fold_from_log(event);
    if (is_caught_up())
        confirmed_at_ = now_;
    // An answer that brings nothing while there is more is not asked for
    // again at once.
    const bool stuck = reached() == before && event.next > before;
    wait_for_log(stuck ? settings_.log_retry : core::duration::zero());
}

void follower::on(const log_unavailable&)
{
    reading_ = false;
    log_available_ = false;
    wait_for_log(settings_.log_retry);
}

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

void follower::on(const tick& event)
{
    wall_time_ms_ = event.wall_time_ms;
    if (reading_ && now_ - read_since_ > settings_.read_timeout)
        on(log_unavailable{});
    if (pull_since_ && now_ - *pull_since_ > settings_.pull_timeout)
        on(pull_failed{});
    keep_checkpoint_young();
    drop_old_tombstones();
}

void follower::on(const resumed&)
{
    // Answers on their way may be old, and whether the log can be reached
    // is not known any more. Old records do no harm: the offset decides.
    reading_ = false;
    log_available_ = false;
    next_read_at_ = now_;
    pull_since_.reset();
    candidate_.reset();
    chunk_seen_at_.reset();
    checkpoint_due_since_.reset();
}

void follower::fold_from_log(const log_records& event)
{
    search_from_.reset();
    clear(alarm_kind::trimmed_without_checkpoint);
    const std::uint64_t before = content_->next_offset();
    for (const record& each : event.records) {
        if (each.offset == content_->next_offset())
            fold_one(each);
    }
    if (content_->next_offset() > before)
        source_ = catalogue_source::log;
}

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

void follower::fold_one(const record& next)
{
    auto result = fold(content_, next);
    content_ = std::move(result.next);
    window_.push(next, content_->hash());
    // Until the first checkpoint the log's beginning stands for one.
    if (next.offset == 0) {
        newest_checkpoint_ = checkpoint_info{0, next.time_ms};
        checkpoint_seen_at_ = now_;
    }
    if (checkpoint_assembler::is_chunk(next))
        chunk_seen_at_ = now_;
    if (auto found = assembler_.offer(next))
        note_checkpoint(*found);
    if (result.decision.kind != verdict_kind::no_change)
        actions_.emplace_back(report_verdict{std::move(result.decision)});
}

std::optional<std::uint64_t>
follower::own_hash_at(std::uint64_t next_offset) const
{
    if (next_offset == content_->next_offset())
        return content_->hash();
    return window_.hash_at(next_offset);
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

void follower::adopt(state_pointer content, catalogue_source source)
{
    content_ = std::move(content);
    source_ = source;
    if (content_->next_offset() < log_first_)
        return;
    search_from_.reset();
    clear(alarm_kind::trimmed_without_checkpoint);
}

void follower::note_progress()
{
    // The log gets its grace anew while it brings records.
    if (candidate_)
        candidate_->since = now_;
}

void follower::become_ready_if_current()
{
    if (ready_ || content_->next_offset() == 0)
        return;
    const bool at_peer =
        candidate_ && content_->next_offset() >= candidate_->next_offset;
    if (!is_caught_up() && !at_peer)
        return;
    ready_ = true;
    if (!newest_checkpoint_)
        checkpoint_seen_at_ = now_;
    actions_.emplace_back(become_ready{});
}

void follower::publish_if_newer()
{
    if (!ready_ || content_->next_offset() <= published_offset_)
        return;
    published_offset_ = content_->next_offset();
    actions_.emplace_back(publish_snapshot{content_, source_});
}

void follower::wait_for_log(core::duration pause)
{
    next_read_at_ = now_ + pause;
}

void follower::read_on()
{
    if (reading_ || now_ < next_read_at_)
        return;
    reading_ = true;
    read_since_ = now_;
    actions_.emplace_back(read_log{
        search_from_.value_or(content_->next_offset()), settings_.read_limit});
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

bool follower::is_caught_up() const
{
    return log_available_ && !search_from_ &&
           content_->next_offset() >= log_next_ &&
           content_->next_offset() >= log_first_;
}

bool follower::has_alarm(alarm_kind kind) const
{
    return std::any_of(
        alarms_.begin(), alarms_.end(), [kind](const catalogue_alarm& each) {
            return each.kind == kind;
        });
}

void follower::raise(alarm_kind kind, std::uint64_t offset, std::string message)
{
    if (has_alarm(kind))
        return;
    alarms_.push_back({kind, offset, std::move(message)});
    actions_.emplace_back(raise_alarm{alarms_.back()});
}

void follower::clear(alarm_kind kind)
{
    if (!has_alarm(kind))
        return;
    alarms_.erase(
        std::remove_if(
            alarms_.begin(),
            alarms_.end(),
            [kind](const catalogue_alarm& each) { return each.kind == kind; }),
        alarms_.end());
    actions_.emplace_back(clear_alarm{kind});
}

std::optional<core::duration> follower::age() const
{
    if (!confirmed_at_)
        return std::nullopt;
    return now_ - *confirmed_at_;
}

send_digest follower::make_digest(std::vector<core::host_name> peers) const
{
    return {std::move(peers), content_->next_offset(), content_->hash(), age()};
}

follower_status follower::status(core::time_point now) const
{
    follower_status result;
    result.ready = ready_;
    result.next_offset = content_->next_offset();
    result.hash = content_->hash();
    result.source = source_;
    if (confirmed_at_)
        result.age = now - *confirmed_at_;
    result.log_available = log_available_;
    result.log_first = log_first_;
    result.newest_checkpoint = newest_checkpoint_;
    result.neighbours = neighbours_;
    result.alarms = alarms_;
    return result;
}

} // namespace godwit::catalogue
