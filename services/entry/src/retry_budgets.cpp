#include <godwit/entry/retry_budgets.hpp>

#include <algorithm>
#include <cassert>
#include <chrono>

namespace godwit::entry {

namespace {

// A host may spend a full balance and what accrues meanwhile within one window.
// Each of the two therefore gets half of the host's part of the allowance.
constexpr double allowance_divisor = 2.0;
// Requests are counted when they arrive, retries a little later, so that a
// window may hold retries of requests counted in the window before. The factor
// leaves a margin for these.
constexpr double share_factor = 0.8;
// The fleet size that a host assumes while it knows no more hosts than that: a
// small fleet.
constexpr std::size_t min_hosts = 6;

} // namespace

retry_budgets::retry_budgets(const entry_settings& settings)
    : share_(settings.retry_share * share_factor),
      allowance_(settings.retry_allowance), window_(settings.retry_window),
      hosts_(min_hosts)
{}

// Resets the balances, so that retries saved up under the old settings are not
// spent on top of those that the new settings permit.
void retry_budgets::update_settings(const entry_settings& settings)
{
    share_ = settings.retry_share * share_factor;
    allowance_ = settings.retry_allowance;
    window_ = settings.retry_window;
    budgets_.clear();
}

void retry_budgets::set_host_count(std::size_t hosts)
{
    if (hosts <= hosts_)
        return;
    hosts_ = hosts;
    // The next use creates the budgets again, with a smaller part of the
    // allowance.
    budgets_.clear();
}

request::retry_budget& retry_budgets::find_or_add(
    const core::service_name& service, core::time_point now)
{
    const auto found = budgets_.find(service);
    if (found != budgets_.end())
        return found->second;
    const double part =
        allowance_ / (allowance_divisor * static_cast<double>(hosts_));
    const double seconds = std::chrono::duration<double>(window_).count();
    request::retry_budget_settings settings;
    settings.share = share_;
    settings.capacity = std::max(part, 1.0);
    settings.floor_per_second = part / seconds;
    auto budget = request::retry_budget::create(settings, now);
    // `create` accepts all values within the settings' ranges.
    assert(budget);
    return budgets_.emplace(service, *budget).first->second;
}

void retry_budgets::record_first_attempt(
    const core::service_name& service, core::time_point now)
{
    find_or_add(service, now).deposit(now);
}

bool retry_budgets::try_spend(
    const core::service_name& service, core::time_point now)
{
    return find_or_add(service, now).try_spend(now);
}

} // namespace godwit::entry
