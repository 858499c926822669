#include <godwit/rollout/version_comparison.hpp>

#include <algorithm>
#include <cmath>

namespace godwit::rollout {

version_comparison::version_comparison(double false_alarm) noexcept
    : log_threshold_(-std::log(false_alarm))
{}

// An interval without responses of one version says nothing: its bad responses
// can only come from the other.
void version_comparison::add(
    const bad_share& former, const bad_share& target) noexcept
{
    if (former.total == 0 || target.total == 0)
        return;
    const double all = static_cast<double>(former.total + target.total);
    const double share = static_cast<double>(target.total) / all;
    for (std::size_t at = 0; at < rate_ratios.size(); ++at) {
        const double ratio = rate_ratios.at(at);
        const double sum = ratio * share + 1.0 - share;
        log_ratios_.at(at) +=
            static_cast<double>(target.bad) * std::log(ratio / sum) -
            static_cast<double>(former.bad) * std::log(sum);
    }
    is_worse_ = is_worse_ || log_mean_ratio() >= log_threshold_;
}

void version_comparison::add_alone(
    double former_rate, const bad_share& target) noexcept
{
    // A rate that is multiplied stays below 1.
    constexpr double max_rate = 0.95;
    for (std::size_t at = 0; at < rate_ratios.size(); ++at) {
        const double rate =
            std::min(former_rate * rate_ratios.at(at), max_rate);
        if (rate <= former_rate)
            continue;
        const auto good = static_cast<double>(target.total - target.bad);
        log_ratios_.at(at) +=
            static_cast<double>(target.bad) * std::log(rate / former_rate) +
            good * std::log((1.0 - rate) / (1.0 - former_rate));
    }
    is_worse_ = is_worse_ || log_mean_ratio() >= log_threshold_;
}

double version_comparison::log_mean_ratio() const noexcept
{
    const double largest =
        *std::max_element(log_ratios_.begin(), log_ratios_.end());
    double sum = 0;
    for (const double ratio : log_ratios_)
        sum += std::exp(ratio - largest);
    return largest + std::log(sum / static_cast<double>(log_ratios_.size()));
}

} // namespace godwit::rollout
