#include "retry_budgets.hpp"

#include <cassert>
#include <utility>

namespace godwit::proxy {

shared_budget::shared_budget(request::retry_budget held) : budget(held) {}

std::shared_ptr<shared_budget> retry_budgets::find_or_add(
    const catalogue::service& service, core::time_point now)
{
    constexpr double whole = 100.0;
    const std::scoped_lock lock(mutex_);
    entry& own = entries_[service.name];
    if (own.shared && own.percent == service.retry_budget_percent)
        return own.shared;
    request::retry_budget_settings settings;
    settings.share = service.retry_budget_percent / whole;
    auto budget = request::retry_budget::create(settings, now);
    // The catalogue refuses a share above 100 percent.
    assert(budget);
    own.percent = service.retry_budget_percent;
    own.shared = std::make_shared<shared_budget>(*std::move(budget));
    return own.shared;
}

} // namespace godwit::proxy
