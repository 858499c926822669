#pragma once

#include <godwit/orders/lease_table.hpp>
#include <godwit/orders/reconciler_action.hpp>
#include <godwit/orders/reconciler_event.hpp>
#include <godwit/orders/reconciler_settings.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace godwit::orders {

/// A lease that the log granted or renewed to this agent.
struct lease_grant
{
    core::service_name pool;
    std::uint64_t fencing = 0;

    /// From here on the lease counts as lapsed, by this host's clock.
    core::time_point valid_until;
    core::time_point renew_at;

    friend bool operator==(const lease_grant&, const lease_grant&) = default;
};

/// Follows the orders stream and asks for leases.
class lease_keeper
{
public:
    lease_keeper(const reconciler_settings& settings, core::time_point now);

    /// Gives up everything: whatever was granted or asked for before is
    /// another holder's from now on.
    void begin_epoch();

    /// The record that takes or renews `wanted` and gives up `unwanted`, if
    /// it can be appended now.
    [[nodiscard]] std::optional<append_record>
    ask(const std::vector<core::service_name>& wanted,
        const std::vector<core::service_name>& unwanted,
        core::time_point now);

    /// When the log may grant `pool` to this agent, as far as is known.
    [[nodiscard]] core::time_point
    may_take_at(const core::service_name& pool, core::time_point now) const;

    /// The next read of the log, if one is due.
    [[nodiscard]] std::optional<read_log> read(core::time_point now);

    /// Takes what was read; the leases granted to this agent.
    [[nodiscard]] std::vector<lease_grant>
    take(const records_read& event, core::time_point now);

    void append_ended(std::uint64_t append, bool failed, core::time_point now);
    void read_failed(std::uint64_t read, core::time_point now);

    /// Counts what got no answer in time as failed.
    void time_out(core::time_point now);

    /// Stops reading while no pool falls to this agent.
    void set_wanted(bool wanted, core::time_point now);

    [[nodiscard]] core::time_point next_wakeup() const;

    [[nodiscard]] bool went_back() const noexcept { return went_back_; }

    [[nodiscard]] std::uint64_t bad_records() const noexcept
    {
        return table_.bad_records();
    }

    /// When the next append may go: not while one is under way, was not seen
    /// on the log yet or has just failed.
    [[nodiscard]] core::time_point append_ready_at() const
    {
        return append_ != 0 ? core::time_point::max() : append_retry_;
    }

private:
    [[nodiscard]] log_time log_now(core::time_point now) const;
    void start_over(std::uint64_t next, core::time_point now);

    const reconciler_settings settings_;
    lease_holder holder_;
    lease_table table_;
    std::map<std::uint64_t, core::time_point> asked_at_;
    std::uint64_t last_attempt_ = 0;

    std::uint64_t append_ = 0;
    std::uint64_t last_append_ = 0;
    core::time_point append_deadline_;
    core::time_point append_retry_;

    std::optional<std::uint64_t> next_;
    std::uint64_t read_ = 0;
    std::uint64_t last_read_ = 0;
    core::time_point read_deadline_;
    core::time_point read_retry_;
    core::time_point newest_read_at_;

    /// Every lease in force is known from here on; nothing before the first
    /// read.
    std::optional<core::time_point> complete_at_;
    bool wanted_ = false;
    bool went_back_ = false;
};

} // namespace godwit::orders
