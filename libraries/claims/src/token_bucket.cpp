#include "token_bucket.hpp"

#include <algorithm>
#include <cmath>

namespace godwit::claims {

namespace {

constexpr double microseconds_per_second = 1e6;

// A tenth of a second's worth may go at once, so that a quiet host does not
// wait and a busy one cannot save up a burst.
constexpr double burst_seconds = 0.1;

} // namespace

void token_bucket::set_rate(double rate, core::time_point now)
{
    fill(now);
    rate_ = rate;
}

void token_bucket::fill(core::time_point now)
{
    const double seconds = static_cast<double>((now - filled_at_).count()) /
                           microseconds_per_second;
    filled_at_ = now;
    const double capacity = std::max(1.0, rate_ * burst_seconds);
    tokens_ = std::min(capacity, tokens_ + seconds * rate_);
}

bool token_bucket::take(core::time_point now)
{
    fill(now);
    // The wait is rounded up to a whole microsecond, which is worth a little
    // less than a token at times.
    constexpr double nearly_one = 1.0 - 1e-6;
    if (tokens_ < nearly_one)
        return false;
    tokens_ -= 1.0;
    return true;
}

core::time_point token_bucket::ready_at() const
{
    const double missing = std::max(0.0, 1.0 - tokens_);
    const double wait = missing / rate_ * microseconds_per_second;
    return filled_at_ +
           core::duration(static_cast<core::duration::rep>(std::ceil(wait)));
}

} // namespace godwit::claims
