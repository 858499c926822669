#pragma once

#include <cstddef>

namespace godwit::platform {

/// Determines this host's part of the log's rate.
struct append_budget_options
{
    /// Appends per second that the log accepts from all clients together.
    double log_rate = 300;

    /// Fraction of `log_rate` that is reserved for operators, 0 to below 1.
    double operators_share = 0.2;

    /// Number of entry hosts that share the rest, at least 1.
    std::size_t hosts = 1;

    /// Appends that an idle host may make at once, at least 1.
    double burst = 20;

    friend bool operator==(
        const append_budget_options&, const append_budget_options&) = default;
};

} // namespace godwit::platform
