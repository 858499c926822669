#pragma once

#include <cstddef>

namespace godwit::platform {

/// How much of the log's rate one host may use.
struct append_budget_options
{
    /// Appends a second that the log takes from everybody.
    double log_rate = 300;

    /// The part of `log_rate` that stays free for operators, 0 to below 1.
    double operators_share = 0.2;

    /// The entry hosts that divide the rest, at least 1.
    std::size_t hosts = 1;

    /// Appends that a quiet host may make at once, at least 1.
    double burst = 20;

    friend bool operator==(
        const append_budget_options&, const append_budget_options&) = default;
};

} // namespace godwit::platform
