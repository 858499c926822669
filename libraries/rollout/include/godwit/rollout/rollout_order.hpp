#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/placement/backend_server.hpp>

#include <compare>
#include <cstdint>
#include <string_view>

namespace godwit::rollout {

/// Orders the operator's orders.
struct order_revision
{
    /// Increases when the source restarts from an older copy.
    std::uint64_t epoch = 0;
    /// Position in the source's sequence of changes.
    std::uint64_t sequence = 0;

    // clang-tidy 14 takes the comparison with 0 inside a defaulted <=> for a
    // null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend auto
    operator<=>(const order_revision&, const order_revision&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

/// An operator's order to move a service to another version of its servers.
struct rollout_order
{
    core::service_name service;
    placement::server_version target;
    core::duration duration{}; ///< From the order to its deadline.
    order_revision revision;

    friend bool
    operator==(const rollout_order&, const rollout_order&) = default;
};

/// How far a rollout is.
enum class rollout_state
{
    running,
    rolled_back, ///< The target gets no requests any more.
    completed,   ///< Every request goes to the target.
};

/// Returns the name of the state in logs and records.
[[nodiscard]] std::string_view to_string(rollout_state state) noexcept;

/// A rollout as one host knows it.
struct rollout_status
{
    rollout_order order;
    core::time_point ordered_at; ///< As far as this host knows.
    rollout_state state = rollout_state::running;
    /// Whether the state is recorded at the source, so that no host may decide
    /// otherwise.
    bool is_recorded = false;

    friend bool
    operator==(const rollout_status&, const rollout_status&) = default;
};

} // namespace godwit::rollout
