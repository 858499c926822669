#include <godwit/memory/client_account.hpp>

#include <godwit/memory/choose_evictions.hpp>

#include <utility>

namespace godwit::memory {

std::shared_ptr<client_account>
client_account::create(const account_limits& limits)
{
    return std::shared_ptr<client_account>(new client_account(limits));
}

client_account::holder
client_account::open(activity doing, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    const std::uint64_t id = ++last_id_;
    entry opened;
    opened.what.id = id;
    opened.what.doing = doing;
    opened.what.since = now;
    entries_.emplace(id, std::move(opened));
    return {shared_from_this(), id};
}

void client_account::observe(eviction_observer observer)
{
    const std::lock_guard lock(mutex_);
    observer_ = std::move(observer);
}

amounts client_account::used() const
{
    const std::lock_guard lock(mutex_);
    return used_;
}

std::size_t client_account::evictions() const
{
    const std::lock_guard lock(mutex_);
    return evictions_;
}

std::size_t client_account::refusals() const
{
    const std::lock_guard lock(mutex_);
    return refusals_;
}

amounts client_account::available_to(const entry& taker, amounts more) const
{
    amounts total = limits_.total;
    const bool is_small =
        taker.what.held.bytes + more.bytes <= limits_.small_bytes;
    if (!is_small)
        total = total - amounts{limits_.reserved_bytes, 0};
    return total - used_;
}

grant client_account::take(std::uint64_t id, amounts more, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    entry& taker = entries_.at(id);
    const amounts available = available_to(taker, more);
    if (!available.cover(more))
        return make_room(taker, more - available, now);
    taker.what.held = taker.what.held + more;
    used_ = used_ + more;
    return grant::granted;
}

// What holders give back that were told to end is not there yet, and must not
// be granted before.
grant client_account::make_room(
    const entry& taker, amounts shortage, core::time_point now)
{
    // It was told to give back what it has.
    if (taker.is_evicted)
        return grant::refused;
    std::vector<holding> holdings;
    holdings.reserve(entries_.size());
    amounts ending;
    for (const auto& [id, one] : entries_) {
        if (one.is_evicted)
            ending = ending + one.what.held;
        else if (one.evict)
            holdings.push_back(one.what);
    }
    if (ending.cover(shortage))
        return grant::pending;
    const auto chosen =
        choose_evictions(holdings, taker.what, shortage - ending, limits_, now);
    for (const std::uint64_t id : chosen) {
        entry& victim = entries_.at(id);
        victim.is_evicted = true;
        ++evictions_;
        if (observer_)
            observer_({victim.what, now - victim.what.since, used_});
        victim.evict();
    }
    if (!chosen.empty())
        return grant::pending;
    ++refusals_;
    return grant::refused;
}

grant client_account::end_others(
    std::uint64_t id, amounts shortage, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    return make_room(entries_.at(id), shortage, now);
}

void client_account::take_existing(std::uint64_t id, amounts more)
{
    const std::lock_guard lock(mutex_);
    entry& taker = entries_.at(id);
    taker.what.held = taker.what.held + more;
    used_ = used_ + more;
}

void client_account::set_eviction(std::uint64_t id, evict_function evict)
{
    const std::lock_guard lock(mutex_);
    entries_.at(id).evict = std::move(evict);
}

void client_account::give_back(std::uint64_t id, amounts less)
{
    const std::lock_guard lock(mutex_);
    entry& giver = entries_.at(id);
    const amounts rest = giver.what.held - less;
    used_ = used_ - (giver.what.held - rest);
    giver.what.held = rest;
}

void client_account::move_to(std::uint64_t from, std::uint64_t to)
{
    const std::lock_guard lock(mutex_);
    entry& giver = entries_.at(from);
    entry& taker = entries_.at(to);
    taker.what.held = taker.what.held + std::exchange(giver.what.held, {});
}

void client_account::set_activity(
    std::uint64_t id, activity doing, core::time_point now)
{
    const std::lock_guard lock(mutex_);
    entry& changed = entries_.at(id);
    // A connection whose client takes bytes again does not end for others.
    if (changed.what.doing != doing || doing == activity::sending)
        changed.is_evicted = false;
    changed.what.doing = doing;
    changed.what.since = now;
}

void client_account::close(std::uint64_t id)
{
    const std::lock_guard lock(mutex_);
    const auto closed = entries_.find(id);
    used_ = used_ - closed->second.what.held;
    entries_.erase(closed);
}

amounts client_account::held(std::uint64_t id) const
{
    const std::lock_guard lock(mutex_);
    return entries_.at(id).what.held;
}

client_account::holder::holder(holder&& other) noexcept
    : account_(std::move(other.account_)), id_(std::exchange(other.id_, 0))
{}

client_account::holder&
client_account::holder::operator=(holder&& other) noexcept
{
    if (this == &other)
        return *this;
    close();
    account_ = std::move(other.account_);
    id_ = std::exchange(other.id_, 0);
    return *this;
}

client_account::holder::~holder()
{
    close();
}

void client_account::holder::close() noexcept
{
    if (account_)
        account_->close(id_);
    account_.reset();
}

grant client_account::holder::try_take(amounts more, core::time_point now)
{
    return account_->take(id_, more, now);
}

grant client_account::holder::make_room(amounts shortage, core::time_point now)
{
    return account_->end_others(id_, shortage, now);
}

void client_account::holder::take_existing(amounts more)
{
    account_->take_existing(id_, more);
}

void client_account::holder::on_eviction(evict_function evict)
{
    account_->set_eviction(id_, std::move(evict));
}

void client_account::holder::give_back(amounts less)
{
    if (account_)
        account_->give_back(id_, less);
}

grant client_account::holder::try_resize(
    std::size_t bytes, core::time_point now)
{
    const std::size_t before = held().bytes;
    if (bytes > before)
        return try_take({bytes - before, 0}, now);
    give_back({before - bytes, 0});
    return grant::granted;
}

void client_account::holder::absorb(holder other)
{
    if (other.account_)
        account_->move_to(other.id_, id_);
}

void client_account::holder::set_activity(activity doing, core::time_point now)
{
    account_->set_activity(id_, doing, now);
}

amounts client_account::holder::held() const
{
    return account_ ? account_->held(id_) : amounts();
}

} // namespace godwit::memory
