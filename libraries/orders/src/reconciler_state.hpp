#pragma once

#include "lease_keeper.hpp"
#include "pool_work.hpp"

#include <godwit/orders/pool_plan.hpp>
#include <godwit/orders/reconciler.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace godwit::orders {

/// The reconciler's decisions; see reconciler.hpp.
class reconciler::state
{
public:
    state(reconciler_settings settings, core::time_point now);

    std::vector<reconciler_action>
    handle(const reconciler_event& event, core::time_point now);

    [[nodiscard]] core::time_point next_wakeup() const;

    [[nodiscard]] std::vector<held_pool> held() const;

    [[nodiscard]] const reconciler_counts& counts() const noexcept
    {
        return counts_;
    }

private:
    using pool_map = std::map<core::service_name, pool>;
    using work_map = std::map<core::service_name, pool_work>;

    void on(const pools_changed& event);
    void on(const entry_hosts_changed& event);
    void on(const engines_changed& event);
    void on(const engine_read& event);
    void on(const engine_read_failed& event);
    void on(const order_accepted& event);
    void on(const order_refused& event);
    void on(const order_not_sent& event);
    void on(const order_lost& event);
    void on(const append_answered& event);
    void on(const append_failed& event);
    void on(const records_read& event);
    void on(const read_failed& event);
    void on(const tick& event);
    void on(const resumed_after_pause& event);

    // Leases.
    void work_out_owned();
    void drop_lapsed();
    void drop(work_map::iterator held);
    void keep_leases();
    [[nodiscard]] core::time_point
    may_take_at(const core::service_name& name) const;
    void granted(const lease_grant& grant);
    void update_engines(const core::service_name& name, pool_work& work);

    // Engines.
    [[nodiscard]] engine_work*
    request_ended(const core::server_address& engine, std::uint64_t request);
    void time_out_requests();
    void work_on(const core::service_name& name, pool_work& work);
    void look_at_effect(engine_work& engine);
    void read_engines(pool_work& work);
    [[nodiscard]] bool read_due(const engine_work& engine) const;
    [[nodiscard]] core::time_point read_due_at(const engine_work& engine) const;
    void give_orders(const core::service_name& name, pool_work& work);
    void fence(const pool& wanted, pool_work& work);
    void send(
        pool_work& work,
        const core::server_address& address,
        const engine_order& order);
    void
    raise(orders_alarm alarm, const core::service_name& name, bool& raised);
    [[nodiscard]] core::duration load_interval() const;

    reconciler_settings settings_;
    lease_keeper leases_;
    reconciler_counts counts_;
    core::time_point now_;
    std::vector<reconciler_action> actions_;
    pool_map pools_;
    std::vector<core::host_name> hosts_;
    std::map<core::server_address, core::service_name> engines_;
    std::set<core::service_name> owned_;
    std::set<core::service_name> to_release_;
    work_map held_;
    std::map<core::service_name, core::time_point> held_off_;
    std::uint64_t last_request_ = 0;
    std::uint64_t alarmed_bad_records_ = 0;
    bool went_back_alarmed_ = false;
};

} // namespace godwit::orders
