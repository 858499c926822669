#include "reconciler_state.hpp"

#include <godwit/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace godwit::orders {

reconciler::state::state(reconciler_settings settings, core::time_point now)
    : settings_(std::move(settings)), leases_(settings_, now), now_(now)
{}

std::vector<reconciler_action>
reconciler::state::handle(const reconciler_event& event, core::time_point now)
{
    now_ = std::max(now_, now);
    actions_.clear();
    // Leases that lapsed go before anything is done under them.
    drop_lapsed();
    leases_.time_out(now_);
    time_out_requests();
    std::visit([this](const auto& value) { on(value); }, event);
    keep_leases();
    for (auto& [name, work] : held_)
        work_on(name, work);
    if (auto read = leases_.read(now_))
        actions_.emplace_back(*read);
    return std::move(actions_);
}

void reconciler::state::on(const tick&) {}

// The log may have granted the leases to others meanwhile, so everything
// held is dropped first, and taken anew with another fencing number.
void reconciler::state::on(const resumed_after_pause&)
{
    while (!held_.empty())
        drop(held_.begin());
    leases_.begin_epoch();
}

void reconciler::state::on(const pools_changed& event)
{
    pools_.clear();
    for (const auto& wanted : event.pools)
        pools_.emplace(wanted.service, wanted);
    work_out_owned();
}

void reconciler::state::on(const entry_hosts_changed& event)
{
    hosts_ = event.hosts;
    work_out_owned();
}

void reconciler::state::on(const engines_changed& event)
{
    engines_.clear();
    for (const auto& engine : event.engines)
        engines_.emplace(engine.address, engine.service);
    for (auto& [name, work] : held_)
        update_engines(name, work);
}

void reconciler::state::on(const append_answered& event)
{
    leases_.append_ended(event.append, false, now_);
}

// The lease may have been granted all the same; then the log shows it.
void reconciler::state::on(const append_failed& event)
{
    leases_.append_ended(event.append, true, now_);
}

void reconciler::state::on(const read_failed& event)
{
    leases_.read_failed(event.read, now_);
}

void reconciler::state::on(const records_read& event)
{
    for (const auto& grant : leases_.take(event, now_))
        granted(grant);
    bool nothing_raised = false;
    if (leases_.went_back())
        raise(orders_alarm::log_went_back, {}, went_back_alarmed_);
    if (leases_.bad_records() != alarmed_bad_records_)
        raise(orders_alarm::bad_record, {}, nothing_raised);
    alarmed_bad_records_ = leases_.bad_records();
}

// Which pools fall to this host, by rendezvous hashing. Hosts that disagree
// both ask for the lease; the log gives it to one.
void reconciler::state::work_out_owned()
{
    owned_.clear();
    for (const auto& [name, wanted] : pools_) {
        if (wanted.targets.empty())
            continue;
        const auto best = std::max_element(
            hosts_.begin(),
            hosts_.end(),
            [&pool_name = name](const auto& left, const auto& right) {
                return core::rendezvous_weight(
                           pool_name.value(), left.value()) <
                       core::rendezvous_weight(
                           pool_name.value(), right.value());
            });
        if (best != hosts_.end() && *best == settings_.host)
            owned_.insert(name);
    }
    for (auto held = held_.begin(); held != held_.end();) {
        const auto candidate = held++;
        if (owned_.contains(candidate->first))
            continue;
        to_release_.insert(candidate->first);
        drop(candidate);
    }
    std::erase_if(held_off_, [this](const auto& item) {
        return item.second <= now_ || !owned_.contains(item.first);
    });
    leases_.set_wanted(!owned_.empty(), now_);
}

void reconciler::state::drop_lapsed()
{
    for (auto held = held_.begin(); held != held_.end();) {
        const auto candidate = held++;
        if (candidate->second.valid_until <= now_)
            drop(candidate);
    }
}

void reconciler::state::drop(work_map::iterator held)
{
    ++counts_.leases_dropped;
    held_.erase(held);
}

void reconciler::state::keep_leases()
{
    if (leases_.append_ready_at() > now_)
        return;
    std::vector<core::service_name> wanted;
    bool due = !to_release_.empty();
    for (const auto& name : owned_) {
        const auto held = held_.find(name);
        if (held == held_.end() && may_take_at(name) > now_)
            continue;
        // What is renewed goes with what is due, in one record.
        due = due || held == held_.end() || held->second.renew_at <= now_;
        wanted.push_back(name);
    }
    if (!due)
        return;
    const std::vector<core::service_name> unwanted(
        to_release_.begin(), to_release_.end());
    auto append = leases_.ask(wanted, unwanted, now_);
    if (!append)
        return;
    ++counts_.appends;
    // A release that is lost costs the next holder the rest of the lease.
    to_release_.clear();
    actions_.emplace_back(std::move(*append));
}

core::time_point
reconciler::state::may_take_at(const core::service_name& name) const
{
    const auto at = leases_.may_take_at(name, now_);
    const auto held_off = held_off_.find(name);
    return held_off == held_off_.end() ? at : std::max(at, held_off->second);
}

void reconciler::state::granted(const lease_grant& grant)
{
    if (!owned_.contains(grant.pool) || grant.valid_until <= now_)
        return;
    const auto [held, is_new] = held_.try_emplace(grant.pool);
    auto& work = held->second;
    if (is_new || work.fencing != grant.fencing) {
        ++counts_.leases_taken;
        work = pool_work{};
        work.next_load_at = now_;
        update_engines(grant.pool, work);
    }
    work.fencing = grant.fencing;
    work.valid_until = std::max(work.valid_until, grant.valid_until);
    work.renew_at = grant.renew_at;
}

void reconciler::state::update_engines(
    const core::service_name& name, pool_work& work)
{
    std::erase_if(work.engines, [&](const auto& item) {
        const auto live = engines_.find(item.first);
        return live == engines_.end() || live->second != name;
    });
    for (const auto& [address, service] : engines_)
        if (service == name)
            work.engines.try_emplace(address);
}

core::time_point reconciler::state::next_wakeup() const
{
    auto wakeup = leases_.next_wakeup();
    const auto sooner = [&wakeup](core::time_point time) {
        wakeup = std::min(wakeup, time);
    };
    for (const auto& name : owned_) {
        const auto held = held_.find(name);
        const auto due =
            held == held_.end() ? may_take_at(name) : held->second.renew_at;
        sooner(std::max(due, leases_.append_ready_at()));
    }
    for (const auto& [name, work] : held_) {
        sooner(work.valid_until);
        if (work.next_load_at > now_)
            sooner(work.next_load_at);
        for (const auto& [address, engine] : work.engines)
            sooner(
                engine.request != 0
                    ? engine.requested_at + settings_.answer_timeout
                    : read_due_at(engine));
    }
    return std::max(wakeup, now_ + core::duration(1));
}

std::vector<held_pool> reconciler::state::held() const
{
    std::vector<held_pool> pools;
    for (const auto& [name, work] : held_)
        pools.push_back({name, work.fencing, work.valid_until, work.reached});
    return pools;
}

void reconciler::state::raise(
    orders_alarm alarm, const core::service_name& name, bool& raised)
{
    if (!raised)
        actions_.emplace_back(raise_alarm{alarm, name});
    raised = true;
}

} // namespace godwit::orders
