#include "organisation_account.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>
#include <utility>

namespace godwit::dispatch {

organisation_account::organisation_account(organisation_policy limits)
    : limits_(std::move(limits)),
      level_(limits_.tokens_per_second.value_or(0.0))
{}

double organisation_account::level(core::time_point now) const
{
    if (!limits_.tokens_per_second)
        return 0.0;
    const double elapsed =
        std::chrono::duration<double>(now - level_at_).count();
    const double rate = *limits_.tokens_per_second;
    return std::min(level_ + elapsed * rate, rate);
}

void organisation_account::limit(
    const organisation_policy& limits, core::time_point now)
{
    const bool was_limited = limits_.tokens_per_second.has_value();
    const double current = level(now);
    limits_ = limits;
    const double burst = limits_.tokens_per_second.value_or(0.0);
    level_ = was_limited ? std::min(current, burst) : burst;
    level_at_ = now;
}

bool organisation_account::allows(request_kind kind, core::time_point now) const
{
    const std::uint32_t in_flight =
        kind == request_kind::call ? calls_ : generations_;
    if (limits_.concurrency && in_flight >= *limits_.concurrency)
        return false;
    // A confirmation brings no tokens, so it never waits for them.
    if (kind == request_kind::call || !limits_.tokens_per_second)
        return true;
    return level(now) > 0.0;
}

void organisation_account::started(request_kind kind)
{
    ++(kind == request_kind::call ? calls_ : generations_);
}

void organisation_account::ended(request_kind kind)
{
    std::uint32_t& in_flight =
        kind == request_kind::call ? calls_ : generations_;
    assert(in_flight > 0);
    --in_flight;
}

void organisation_account::charge(double tokens, core::time_point now)
{
    if (!limits_.tokens_per_second)
        return;
    level_ = level(now) - tokens;
    level_at_ = now;
}

core::time_point organisation_account::allowed_at(core::time_point now) const
{
    if (!limits_.tokens_per_second)
        return now;
    const double current = level(now);
    if (current > 0.0)
        return now;
    const std::chrono::duration<double> rest(
        (1.0 - current) / *limits_.tokens_per_second);
    return now + std::chrono::ceil<core::duration>(rest);
}

bool organisation_account::idle(core::time_point now) const
{
    if (flow_count > 0 || generations_ > 0 || calls_ > 0)
        return false;
    return !limits_.tokens_per_second || level(now) > 0.0;
}

} // namespace godwit::dispatch
