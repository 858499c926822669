#pragma once

#include <godwit/core/time.hpp>

namespace godwit::claims {

/// Paces actions to a rate, with a small burst.
class token_bucket
{
public:
    explicit token_bucket(core::time_point now) : filled_at_(now) {}

    /// Sets the tokens a second, above zero, from `now` on.
    void set_rate(double rate, core::time_point now);

    /// Takes a token if there is one.
    [[nodiscard]] bool take(core::time_point now);

    /// When the next token is there.
    [[nodiscard]] core::time_point ready_at() const;

private:
    void fill(core::time_point now);

    double rate_ = 1.0;
    double tokens_ = 1.0;
    core::time_point filled_at_;
};

} // namespace godwit::claims
