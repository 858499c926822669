#pragma once

#include <godwit/core/time.hpp>
#include <godwit/orders/reconciler_settings.hpp>

#include <chrono>

namespace godwit::agent {

/// How the agent orders engines.
struct orders_settings
{
    orders::reconciler_settings reconciler;

    /// Standing still for longer than this drops the leases.
    core::duration pause_limit = std::chrono::seconds(1);

    friend bool
    operator==(const orders_settings&, const orders_settings&) = default;
};

} // namespace godwit::agent
