#include <godwit/platform/append_budget.hpp>

#include <algorithm>
#include <cmath>

namespace godwit::platform {

namespace {

using seconds = std::chrono::duration<double>;

bool in_range(const append_budget_options& options)
{
    return options.log_rate > 0 && options.operators_share >= 0 &&
           options.operators_share < 1 && options.hosts >= 1 &&
           options.burst >= 1;
}

} // namespace

core::result<append_budget> append_budget::create(
    const append_budget_options& options, core::time_point now)
{
    if (!in_range(options)) {
        return core::fail(
            core::error_kind::invalid_input,
            "the append budget is out of range",
            "use a rate above 0, a share for operators from 0 to below 1, "
            "and at least 1 host and a burst of 1");
    }
    return append_budget(options, now);
}

append_budget::append_budget(
    const append_budget_options& options, core::time_point now)
    : options_(options), tokens_(options.burst), refilled_at_(now)
{}

double append_budget::rate() const
{
    return options_.log_rate * (1 - options_.operators_share) /
           static_cast<double>(options_.hosts);
}

double append_budget::tokens_at(core::time_point now) const
{
    const double gained = seconds(now - refilled_at_).count() * rate();
    return std::min(options_.burst, tokens_ + std::max(gained, 0.0));
}

bool append_budget::take(core::time_point now)
{
    tokens_ = tokens_at(now);
    refilled_at_ = now;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

core::duration append_budget::wait(core::time_point now) const
{
    const double missing = 1 - tokens_at(now);
    if (missing <= 0)
        return core::duration(0);
    const seconds time(missing / rate());
    return std::chrono::ceil<core::duration>(time);
}

void append_budget::set_hosts(std::size_t hosts, core::time_point now)
{
    tokens_ = tokens_at(now);
    refilled_at_ = now;
    options_.hosts = std::max<std::size_t>(hosts, 1);
}

} // namespace godwit::platform
