#pragma once

#include <godwit/core/time.hpp>

namespace godwit::placement {

/// A token bucket whose rate and capacity may change between calls. It may be
/// overdrawn: requests of other hosts are counted after they were sent.
class token_bucket
{
public:
    /// The rate in tokens per second, and the most tokens that are saved up.
    struct limits
    {
        double per_second = 0;
        double capacity = 1;

        friend bool operator==(const limits&, const limits&) = default;
    };

    [[nodiscard]] static token_bucket
    create(double tokens, core::time_point now);

    [[nodiscard]] double tokens(limits limit, core::time_point now) const;

    void take(double count, limits limit, core::time_point now);

    /// Time until the bucket holds one token; zero if it does.
    [[nodiscard]] core::duration
    wait_time(limits limit, core::time_point now) const;

    /// Discards the tokens saved up by `now`, but not what is overdrawn.
    void discard_savings(limits limit, core::time_point now);

private:
    token_bucket(double tokens, core::time_point refilled_at);

    double tokens_;
    core::time_point refilled_at_;
};

} // namespace godwit::placement
