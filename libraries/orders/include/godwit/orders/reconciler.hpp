#pragma once

#include <godwit/core/result.hpp>
#include <godwit/orders/reconciler_action.hpp>
#include <godwit/orders/reconciler_event.hpp>
#include <godwit/orders/reconciler_settings.hpp>

#include <cstdint>
#include <memory>
#include <vector>

namespace godwit::orders {

/// Figures of a reconciler since it started.
struct reconciler_counts
{
    std::uint64_t orders_sent = 0;
    std::uint64_t orders_refused = 0;
    std::uint64_t orders_lost = 0;
    std::uint64_t loads_sent = 0;
    std::uint64_t leases_taken = 0;
    std::uint64_t leases_dropped = 0;
    std::uint64_t appends = 0;

    friend bool
    operator==(const reconciler_counts&, const reconciler_counts&) = default;
};

/// A pool whose lease this agent holds.
struct held_pool
{
    core::service_name service;
    std::uint64_t fencing = 0;
    core::time_point valid_until;
    bool reached = false;

    friend bool operator==(const held_pool&, const held_pool&) = default;
};

/// Brings the engines of the pools that fall to this agent to the state that
/// the catalogue wants, under leases on the log. Makes no calls: events in,
/// actions out.
class reconciler
{
public:
    /// Fails with `invalid_input` on settings out of range.
    [[nodiscard]] static core::result<reconciler>
    create(reconciler_settings settings, core::time_point now);

    reconciler(reconciler&&) noexcept;
    reconciler& operator=(reconciler&&) noexcept;
    reconciler(const reconciler&) = delete;
    reconciler& operator=(const reconciler&) = delete;
    ~reconciler();

    /// Takes one event; `now` never goes back.
    [[nodiscard]] std::vector<reconciler_action>
    handle(const reconciler_event& event, core::time_point now);

    /// When the next `tick` is due.
    [[nodiscard]] core::time_point next_wakeup() const;

    [[nodiscard]] std::vector<held_pool> held() const;

    [[nodiscard]] const reconciler_counts& counts() const noexcept;

private:
    class state;

    explicit reconciler(std::unique_ptr<state> decisions);

    std::unique_ptr<state> state_;
};

} // namespace godwit::orders
