#include "lease_keeper.hpp"

#include <algorithm>

namespace godwit::orders {

namespace {

constexpr std::uint32_t read_limit = 256;

// Attempts whose sending time is kept; older ones are lost or were seen.
constexpr std::size_t attempt_limit = 64;

// A lease is renewed at a third of its length, so that two renewals may fail.
constexpr int renewals_per_lease = 3;

} // namespace

lease_keeper::lease_keeper(
    const reconciler_settings& settings, core::time_point now)
    : settings_(settings), holder_{settings.host, settings.incarnation, 0},
      append_retry_(now), read_retry_(now), newest_read_at_(now)
{}

void lease_keeper::begin_epoch()
{
    ++holder_.epoch;
    asked_at_.clear();
}

std::optional<append_record> lease_keeper::ask(
    const std::vector<core::service_name>& wanted,
    const std::vector<core::service_name>& unwanted,
    core::time_point now)
{
    if (append_ready_at() > now || (wanted.empty() && unwanted.empty()))
        return std::nullopt;
    lease_record record;
    record.holder = holder_;
    record.attempt = ++last_attempt_;
    record.length = std::chrono::duration_cast<std::chrono::milliseconds>(
        settings_.lease_length);
    record.leases = wanted;
    record.releases = unwanted;
    record.leases.resize(std::min(wanted.size(), lease_pools_limit));
    record.releases.resize(std::min(unwanted.size(), lease_pools_limit));
    auto text = record.encode();
    if (!text)
        return std::nullopt;
    // The lease counts from before the record can be on the log.
    asked_at_.emplace(record.attempt, now);
    if (asked_at_.size() > attempt_limit)
        asked_at_.erase(asked_at_.begin());
    append_ = ++last_append_;
    append_deadline_ = now + settings_.answer_timeout;
    return append_record{append_, std::move(*text)};
}

log_time lease_keeper::log_now(core::time_point now) const
{
    return table_.newest() +
           std::chrono::duration_cast<log_time>(now - newest_read_at_);
}

core::time_point lease_keeper::may_take_at(
    const core::service_name& pool, core::time_point now) const
{
    if (!complete_at_)
        return core::time_point::max();
    const auto known = table_.find(pool);
    if (!known || known->holder == holder_ ||
        (known->holder.host == holder_.host &&
         known->holder.incarnation == holder_.incarnation))
        return std::max(now, *complete_at_);
    const auto left = std::max(log_time(0), known->expires - log_now(now));
    return std::max(now + left, *complete_at_);
}

std::optional<read_log> lease_keeper::read(core::time_point now)
{
    if (!wanted_ || read_ != 0 || now < read_retry_)
        return std::nullopt;
    read_ = ++last_read_;
    if (!next_) {
        // Only where the stream ends is asked for: leases are short, and
        // what matters comes after.
        read_deadline_ = now + settings_.answer_timeout;
        return read_log{read_, 0, 1, core::duration(0)};
    }
    read_deadline_ = now + settings_.read_wait + settings_.answer_timeout;
    return read_log{read_, *next_, read_limit, settings_.read_wait};
}

void lease_keeper::start_over(std::uint64_t next, core::time_point now)
{
    next_ = next;
    complete_at_ = now + settings_.first_wait;
}

std::vector<lease_grant>
lease_keeper::take(const records_read& event, core::time_point now)
{
    std::vector<lease_grant> grants;
    if (event.read != read_)
        return grants;
    read_ = 0;
    if (!next_) {
        start_over(event.next, now);
        return grants;
    }
    if (event.first > *next_ || event.next < *next_) {
        went_back_ = went_back_ || event.next < *next_;
        start_over(event.next, now);
        return grants;
    }
    const auto margin = settings_.lease_length - settings_.lease_margin;
    for (const auto& record : event.records) {
        if (record.offset < *next_)
            continue;
        next_ = record.offset + 1;
        newest_read_at_ = now;
        const auto read = table_.fold(record);
        if (!read || read->holder != holder_)
            continue;
        const auto asked = asked_at_.find(read->attempt);
        if (asked == asked_at_.end())
            continue;
        for (const auto& name : read->leases) {
            const auto held = table_.find(name);
            if (held && held->holder == holder_)
                grants.push_back(
                    {name,
                     held->number,
                     asked->second + margin,
                     asked->second + margin / renewals_per_lease});
        }
        asked_at_.erase(asked);
        if (read->attempt == last_attempt_)
            append_retry_ = now;
    }
    return grants;
}

void lease_keeper::append_ended(
    std::uint64_t append, bool failed, core::time_point now)
{
    if (append != append_)
        return;
    append_ = 0;
    append_retry_ = now;
    if (failed)
        append_retry_ += settings_.log_retry;
    // One that was answered and not read yet is worth waiting for.
    else if (asked_at_.contains(last_attempt_))
        append_retry_ += settings_.answer_timeout;
}

void lease_keeper::read_failed(std::uint64_t read, core::time_point now)
{
    if (read != read_)
        return;
    read_ = 0;
    read_retry_ = now + settings_.log_retry;
}

void lease_keeper::time_out(core::time_point now)
{
    if (append_ != 0 && append_deadline_ <= now)
        append_ended(append_, true, now);
    if (read_ != 0 && read_deadline_ <= now)
        read_failed(read_, now);
}

void lease_keeper::set_wanted(bool wanted, core::time_point now)
{
    if (wanted && !wanted_) {
        // What happened meanwhile was not followed.
        next_.reset();
        complete_at_.reset();
        read_retry_ = now;
    }
    wanted_ = wanted;
}

core::time_point lease_keeper::next_wakeup() const
{
    auto wakeup = core::time_point::max();
    if (append_ != 0)
        wakeup = std::min(wakeup, append_deadline_);
    if (read_ != 0)
        wakeup = std::min(wakeup, read_deadline_);
    else if (wanted_)
        wakeup = std::min(wakeup, read_retry_);
    return wakeup;
}

} // namespace godwit::orders
