#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>

namespace godwit::request {

/// The limits of a retry budget.
struct retry_budget_settings
{
    double share = 0.1;            ///< Retries per first attempt, 0 to 1.
    double floor_per_second = 1.0; ///< Retries a second whatever the traffic.
    double capacity = 100.0;       ///< The most that can be saved up.

    friend bool operator==(
        const retry_budget_settings&, const retry_budget_settings&) = default;
};

/// Bounds the retries of one service to a share of its first attempts, so
/// that a fault does not multiply the load. One budget a service, and one
/// for its confirmations.
class retry_budget
{
public:
    /// Refuses a share outside 0 to 1, a negative floor, and a capacity
    /// below one.
    [[nodiscard]] static core::result<retry_budget>
    create(retry_budget_settings settings, core::time_point now);

    /// A first attempt starts.
    void deposit(core::time_point now) noexcept;

    /// Whether one more retry may start; takes it from the budget if so.
    [[nodiscard]] bool try_spend(core::time_point now) noexcept;

    /// Retries that could start now.
    [[nodiscard]] double balance() const noexcept { return balance_; }

private:
    retry_budget(retry_budget_settings settings, core::time_point now) noexcept;

    void accrue(core::time_point now) noexcept;

    retry_budget_settings settings_;
    double balance_;
    core::time_point accrued_at_;
};

} // namespace godwit::request
