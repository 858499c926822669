#include <godwit/request/retry_budget.hpp>

#include <algorithm>

namespace godwit::request {

namespace {

double first_balance(const retry_budget_settings& settings)
{
    if (settings.floor_per_second <= 0)
        return 0;
    return std::max(settings.floor_per_second, 1.0);
}

} // namespace

core::result<retry_budget>
retry_budget::create(retry_budget_settings settings, core::time_point now)
{
    if (!(settings.share >= 0 && settings.share <= 1)) {
        return core::fail(
            core::error_kind::invalid_input,
            "the share of a retry budget is outside 0 to 1",
            "set it to about 0.1");
    }
    if (!(settings.floor_per_second >= 0)) {
        return core::fail(
            core::error_kind::invalid_input,
            "the floor of a retry budget is negative",
            "set it to 0 or more retries a second");
    }
    if (!(settings.capacity >= 1)) {
        return core::fail(
            core::error_kind::invalid_input,
            "the capacity of a retry budget is below one retry",
            "set it to 1 or more");
    }
    return retry_budget(settings, now);
}

retry_budget::retry_budget(
    retry_budget_settings settings, core::time_point now) noexcept
    : settings_(settings),
      // One second's floor to begin with, and where there is a floor at least
      // one retry, so that a service that is called rarely can retry its
      // first failure.
      balance_(std::min(first_balance(settings), settings.capacity)),
      accrued_at_(now)
{}

void retry_budget::deposit(core::time_point now) noexcept
{
    accrue(now);
    balance_ = std::min(balance_ + settings_.share, settings_.capacity);
}

bool retry_budget::try_spend(core::time_point now) noexcept
{
    accrue(now);
    if (balance_ < 1)
        return false;
    balance_ -= 1;
    return true;
}

void retry_budget::accrue(core::time_point now) noexcept
{
    if (now <= accrued_at_)
        return;
    const auto seconds = std::chrono::duration<double>(now - accrued_at_);
    accrued_at_ = now;
    // The floor is no second source of savings: alone it never fills the
    // budget above one second's worth.
    const double floor_cap =
        std::max(1.0, std::min(settings_.floor_per_second, settings_.capacity));
    if (balance_ >= floor_cap)
        return;
    balance_ = std::min(
        balance_ + seconds.count() * settings_.floor_per_second, floor_cap);
}

} // namespace godwit::request
