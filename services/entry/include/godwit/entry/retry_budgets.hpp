#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_settings.hpp>
#include <godwit/request/retry_budget.hpp>

#include <cstddef>
#include <map>

namespace godwit::entry {

/// This host's part of each service's retry budget. The allowance beyond the
/// share of requests is divided by the number of hosts, so that the parts
/// never exceed the whole, also when hosts cannot hear each other.
class retry_budgets
{
public:
    explicit retry_budgets(const entry_settings& settings);

    /// How many hosts share the allowance; it only grows, since a host that
    /// is not heard may still serve.
    void set_host_count(std::size_t hosts);

    /// Other shares and allowances from now on.
    void update_settings(const entry_settings& settings);

    /// A first attempt at the service starts.
    void record_first_attempt(
        const core::service_name& service, core::time_point now);

    /// Whether one more repeat may start; takes it from the budget if so.
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
