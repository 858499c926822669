#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/orders/engine_state.hpp>
#include <godwit/orders/log_record.hpp>
#include <godwit/orders/pool.hpp>

#include <cstdint>
#include <variant>
#include <vector>

namespace godwit::orders {

/// The pools of the catalogue in force.
struct pools_changed
{
    std::vector<pool> pools;
};

/// The live entry hosts; each pool's orders belong to one of them.
struct entry_hosts_changed
{
    std::vector<core::host_name> hosts;
};

/// One live engine of the host list. Leaving engines are left out.
struct live_engine
{
    core::server_address address;
    core::service_name service;

    friend bool operator==(const live_engine&, const live_engine&) = default;
};

/// The live engines.
struct engines_changed
{
    std::vector<live_engine> engines;
};

/// What an engine answered to `read_engine`.
struct engine_read
{
    core::server_address engine;
    std::uint64_t request = 0;
    engine_state state;
};

/// An engine did not answer `read_engine`.
struct engine_read_failed
{
    core::server_address engine;
    std::uint64_t request = 0;
};

/// An engine took an order.
struct order_accepted
{
    core::server_address engine;
    std::uint64_t request = 0;
};

/// An engine refused an order for its fencing number.
struct order_refused
{
    core::server_address engine;
    std::uint64_t request = 0;
    std::uint64_t highest_fencing = 0;
};

/// The shell did not send an order, because `send_before` had passed.
struct order_not_sent
{
    core::server_address engine;
    std::uint64_t request = 0;
};

/// An order's answer was lost; it may have taken effect.
struct order_lost
{
    core::server_address engine;
    std::uint64_t request = 0;
};

/// The log took an append.
struct append_answered
{
    std::uint64_t append = 0;
};

/// An append failed or its answer was lost; the log's content tells which.
struct append_failed
{
    std::uint64_t append = 0;
};

/// The answer to `read_log`.
struct records_read
{
    std::uint64_t read = 0;
    std::uint64_t first = 0; ///< The oldest offset kept.
    std::uint64_t next = 0;  ///< One past the newest.
    std::vector<log_record> records;
};

/// A read of the log failed.
struct read_failed
{
    std::uint64_t read = 0;
};

/// Time passed; sent no later than `reconciler::next_wakeup`.
struct tick
{};

/// The process stood still and runs again. Sent before any event that waited
/// meanwhile.
struct resumed_after_pause
{
    core::duration length{0};
};

/// What a reconciler can be told.
using reconciler_event = std::variant<
    pools_changed,
    entry_hosts_changed,
    engines_changed,
    engine_read,
    engine_read_failed,
    order_accepted,
    order_refused,
    order_not_sent,
    order_lost,
    append_answered,
    append_failed,
    records_read,
    read_failed,
    tick,
    resumed_after_pause>;

} // namespace godwit::orders
