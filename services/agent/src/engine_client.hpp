#pragma once

#include "order_outcome.hpp"

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/orders/engine_order.hpp>
#include <godwit/orders/engine_state.hpp>

#include <boost/asio/awaitable.hpp>

#include <cstdint>

namespace godwit::agent {

/// The engine's state. Fails with `unavailable`, `timeout` or `protocol`.
boost::asio::awaitable<core::result<orders::engine_state>>
read_engine_state(http::endpoint engine, core::duration timeout);

/// Gives an order. `send_before` is compared with the monotonic clock on an
/// open connection, right before the first byte.
boost::asio::awaitable<order_outcome> give_order(
    http::endpoint engine,
    std::uint64_t fencing,
    orders::engine_order order,
    core::time_point send_before,
    core::duration timeout);

} // namespace godwit::agent
