#pragma once

#include "organisation_account.hpp"

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dispatch/organisation_policy.hpp>
#include <godwit/dispatch/request_kind.hpp>

#include <cstddef>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace godwit::dispatch {

/// The accounts of the organisations that have requests, or that still have
/// tokens to pay for. Idle ones have no account.
class organisation_table
{
public:
    void
    limit(const std::vector<organisation_policy>& limits, core::time_point now);

    /// The account of the organisation, made if needed.
    [[nodiscard]] organisation_account&
    account_of(const core::organisation_name& name, core::time_point now);

    /// A flow must wait for its organisation's limits.
    void suspend(flow& flow, core::time_point now);

    /// The flows whose wait for a token limit is over.
    [[nodiscard]] std::vector<flow*> wake(core::time_point now);

    /// A request of the account ended; the flows that may go on.
    [[nodiscard]] std::vector<flow*>
    ended(organisation_account& account, request_kind kind);

    /// A flow of the account was forgotten.
    void release_flow(organisation_account& account, core::time_point now);

    /// Forgets the account if nothing depends on it.
    void forget_if_idle(organisation_account& account, core::time_point now);

    [[nodiscard]] std::size_t size() const noexcept { return accounts_.size(); }

private:
    [[nodiscard]] organisation_policy
    limits_of(const core::organisation_name& name) const;

    void wake_at(organisation_account& account, core::time_point when);

    std::unordered_map<core::organisation_name, organisation_policy> limits_;
    std::unordered_map<core::organisation_name, organisation_account> accounts_;
    /// By time and name, so that ties do not depend on addresses.
    std::set<std::pair<core::time_point, core::organisation_name>> timers_;
};

} // namespace godwit::dispatch
