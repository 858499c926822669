#include <godwit/placement/token_bucket.hpp>

#include <algorithm>
#include <chrono>

namespace godwit::placement {

token_bucket::token_bucket(double tokens, core::time_point refilled_at)
    : tokens_(tokens), refilled_at_(refilled_at)
{}

token_bucket token_bucket::create(double tokens, core::time_point now)
{
    return {tokens, now};
}

double token_bucket::tokens(limits limit, core::time_point now) const
{
    const core::duration elapsed =
        std::max(now - refilled_at_, core::duration());
    const double refill =
        std::chrono::duration<double>(elapsed).count() * limit.per_second;
    return std::min(tokens_ + refill, limit.capacity);
}

void token_bucket::take(double count, limits limit, core::time_point now)
{
    tokens_ = tokens(limit, now) - count;
    refilled_at_ = std::max(refilled_at_, now);
}

core::duration token_bucket::wait_time(limits limit, core::time_point now) const
{
    const double missing = 1.0 - tokens(limit, now);
    // Allows for rounding errors of the refill.
    constexpr double tolerance = 1e-6;
    if (missing <= tolerance)
        return core::duration::zero();
    return std::chrono::ceil<core::duration>(
        std::chrono::duration<double>(missing / limit.per_second));
}

void token_bucket::discard_savings(limits limit, core::time_point now)
{
    tokens_ = std::min(tokens(limit, now), 0.0);
    refilled_at_ = std::max(refilled_at_, now);
}

} // namespace godwit::placement
