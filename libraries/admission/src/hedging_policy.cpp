#include <godwit/admission/hedging_policy.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace godwit::admission {

void hedging_policy::record(const std::string& route, core::duration taken)
{
    if (routes_.size() >= max_routes && !routes_.contains(route))
        return;
    recent_durations& recent = routes_[route];
    recent.values.at(recent.count % window) = taken;
    ++recent.count;
}

std::optional<core::duration>
hedging_policy::delay(const std::string& route) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end() || found->second.count < min_calls)
        return std::nullopt;
    std::array<core::duration, window> sorted = found->second.values;
    const std::size_t known = std::min(found->second.count, window);
    const auto rank = static_cast<std::size_t>(
        std::ceil(quantile * static_cast<double>(known)) - 1);
    const auto nth = sorted.begin() + static_cast<std::ptrdiff_t>(rank);
    std::nth_element(
        sorted.begin(),
        nth,
        sorted.begin() + static_cast<std::ptrdiff_t>(known));
    return *nth;
}

bool hedging_policy::may_hedge(const hedge_candidate& candidate)
{
    return candidate.is_idempotent && candidate.runs < candidate.max_attempts;
}

bool hedging_policy::should_hedge(
    const std::string& route, const hedge_candidate& candidate) const
{
    if (!may_hedge(candidate) || !candidate.is_stated_slow)
        return false;
    const auto longest = delay(route);
    return longest && candidate.age >= *longest;
}

} // namespace godwit::admission
