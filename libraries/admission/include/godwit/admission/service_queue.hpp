#pragma once

#include <godwit/admission/work_amount.hpp>
#include <godwit/core/identifiers.hpp>

#include <cstddef>
#include <map>

namespace godwit::admission {

/// The streams of one service at one place in the queue order.
struct order_sum
{
    work_amount waiting;
    work_amount arrived; ///< In the last two seconds.
    work_amount started; ///< In the last two seconds.

    order_sum& operator+=(const order_sum& more) noexcept
    {
        waiting += more.waiting;
        arrived += more.arrived;
        started += more.started;
        return *this;
    }

    friend bool operator==(const order_sum&, const order_sum&) = default;
};

/// The streams of one service, by queue order.
using service_queue = std::map<int, order_sum>;

/// The streams of one host, by service.
using host_queues = std::map<core::service_name, service_queue>;

/// Services of a host, and orders of a service, beyond these numbers are
/// neither sent nor counted.
inline constexpr std::size_t max_queue_services = 16;
inline constexpr std::size_t max_queue_orders = 32;

} // namespace godwit::admission
