#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_settings.hpp>
#include <godwit/request/retry_budget.hpp>

#include <cstddef>
#include <map>

namespace godwit::entry {

/// This host's part of each service's retry budget. A budget permits retries
/// for a share of the first attempts and, beyond these, a fixed allowance of
/// retries in each window. The allowance holds for the whole fleet: it is
/// divided by the number of hosts, so that the hosts' parts never exceed it,
/// not even while hosts are cut off from each other.
class retry_budgets
{
public:
    explicit retry_budgets(const entry_settings& settings);

    /// Sets how many hosts share the allowance. The number only grows, since a
    /// host that cannot be reached may still serve.
    void set_host_count(std::size_t hosts);

    /// Applies changed shares and allowances, and resets all balances.
    void update_settings(const entry_settings& settings);

    /// Counts a first attempt at the service.
    void record_first_attempt(
        const core::service_name& service, core::time_point now);

    /// Whether one more retry may start; takes it from the budget if so.
    [[nodiscard]] bool
    try_spend(const core::service_name& service, core::time_point now);

private:
    request::retry_budget&
    find_or_add(const core::service_name& service, core::time_point now);

    double share_;
    double allowance_;
    core::duration window_;
    std::size_t hosts_ = 1;
    std::map<core::service_name, request::retry_budget> budgets_;
};

} // namespace godwit::entry
