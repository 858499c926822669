#include <godwit/catalogue/follower.hpp>

#include <godwit/catalogue/fold.hpp>

#include <algorithm>
#include <utility>

namespace godwit::catalogue {

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

void follower::adopt(state_pointer content, catalogue_source source)
{
    content_ = std::move(content);
    source_ = source;
    if (content_->next_offset() < log_first_)
        return;
    search_from_.reset();
    clear(alarm_kind::trimmed_without_checkpoint);
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
