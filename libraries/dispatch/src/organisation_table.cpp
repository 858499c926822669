#include "organisation_table.hpp"

#include "flow.hpp"

#include <cassert>
#include <utility>

namespace godwit::dispatch {

void organisation_table::limit(
    const std::vector<organisation_policy>& limits, core::time_point now)
{
    limits_.clear();
    for (const organisation_policy& value : limits)
        limits_.insert_or_assign(value.name, value);
    for (auto& [name, account] : accounts_) {
        account.limit(limits_of(name), now);
        if (!account.suspended.empty())
            wake_at(account, now);
    }
}

organisation_policy
organisation_table::limits_of(const core::organisation_name& name) const
{
    const auto found = limits_.find(name);
    if (found != limits_.end())
        return found->second;
    organisation_policy unlimited;
    unlimited.name = name;
    return unlimited;
}

organisation_account& organisation_table::account_of(
    const core::organisation_name& name, core::time_point now)
{
    const auto found = accounts_.find(name);
    if (found != accounts_.end())
        return found->second;
    const auto added = accounts_.emplace(name, limits_of(name)).first;
    added->second.limit(limits_of(name), now);
    return added->second;
}

void organisation_table::wake_at(
    organisation_account& account, core::time_point when)
{
    timers_.erase({account.wake_at, account.name()});
    account.wake_at = when;
    if (when != core::time_point::max())
        timers_.insert({when, account.name()});
}

void organisation_table::suspend(flow& flow, core::time_point now)
{
    organisation_account& account = *flow.account;
    flow.suspended = true;
    account.suspended.push_back(&flow);
    const core::time_point allowed = account.allowed_at(now);
    // At the concurrency limit the end of a request wakes the flow.
    if (allowed > now)
        wake_at(account, allowed);
}

std::vector<flow*> organisation_table::wake(core::time_point now)
{
    std::vector<flow*> woken;
    while (!timers_.empty() && timers_.begin()->first <= now) {
        organisation_account& account = accounts_.at(timers_.begin()->second);
        wake_at(account, core::time_point::max());
        woken.insert(
            woken.end(), account.suspended.begin(), account.suspended.end());
        account.suspended.clear();
        forget_if_idle(account, now);
    }
    return woken;
}

std::vector<flow*>
organisation_table::ended(organisation_account& account, request_kind kind)
{
    account.ended(kind);
    return std::exchange(account.suspended, {});
}

void organisation_table::release_flow(
    organisation_account& account, core::time_point now)
{
    assert(account.flow_count > 0);
    --account.flow_count;
    forget_if_idle(account, now);
}

void organisation_table::forget_if_idle(
    organisation_account& account, core::time_point now)
{
    if (account.idle(now)) {
        wake_at(account, core::time_point::max());
        accounts_.erase(core::organisation_name(account.name()));
        return;
    }
    // Only tokens still to pay for keep it.
    const core::time_point allowed = account.allowed_at(now);
    if (account.flow_count == 0 && allowed > now)
        wake_at(account, allowed);
}

} // namespace godwit::dispatch
