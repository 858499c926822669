#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/orders/engine_order.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace godwit::orders {

/// Append `data` to the orders stream; answer with `append_answered` or
/// `append_failed`.
struct append_record
{
    std::uint64_t append = 0;
    std::string data;

    friend bool
    operator==(const append_record&, const append_record&) = default;
};

/// Read the orders stream from `from`, waiting up to `wait` for a record;
/// answer with `records_read` or `read_failed`. One at a time.
struct read_log
{
    std::uint64_t read = 0;
    std::uint64_t from = 0;
    std::uint32_t limit = 0;
    core::duration wait{0};

    friend bool operator==(const read_log&, const read_log&) = default;
};

/// Read an engine's state; answer with `engine_read` or
/// `engine_read_failed`.
struct read_engine
{
    core::server_address engine;
    std::uint64_t request = 0;

    friend bool operator==(const read_engine&, const read_engine&) = default;
};

/// Send an order. The shell compares `send_before` with the monotonic clock
/// right before the first byte and answers `order_not_sent` past it; else
/// with `order_accepted`, `order_refused` or `order_lost`.
struct send_order
{
    core::server_address engine;
    std::uint64_t request = 0;
    std::uint64_t fencing = 0;
    engine_order order;
    core::time_point send_before;

    friend bool operator==(const send_order&, const send_order&) = default;
};

/// What operators must hear of.
enum class orders_alarm
{
    missing_engines, ///< A pool has fewer engines than its targets want.
    held_back,       ///< The last engine that serves has no replacement yet.
    refused,         ///< An engine knows a newer fencing number.
    log_went_back,   ///< The log's next offset is below what was read.
    bad_record,      ///< A record on the stream could not be read.
};

/// The name of `alarm` as it appears in logs.
[[nodiscard]] std::string_view to_string(orders_alarm alarm) noexcept;

/// Raise an alarm; repeated only when its cause comes anew.
struct raise_alarm
{
    orders_alarm alarm = orders_alarm::refused;
    core::service_name pool; ///< Empty: not about one pool.

    friend bool operator==(const raise_alarm&, const raise_alarm&) = default;
};

/// What a reconciler asks of its shell.
using reconciler_action =
    std::variant<append_record, read_log, read_engine, send_order, raise_alarm>;

} // namespace godwit::orders
