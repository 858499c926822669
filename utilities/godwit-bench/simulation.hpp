#pragma once

#include "arrivals.hpp"
#include "engine_stepping.hpp"
#include "entry_hosts.hpp"
#include "load_reports.hpp"
#include "measurements.hpp"
#include "run_state.hpp"
#include "service_calls.hpp"

namespace godwit::bench {

/// One run of a workload on a virtual clock: independent entry hosts, each
/// with a policy of its own, send to the same engines and plain services.
template<entry_policy Policy>
class simulation
{
public:
    using policy_factory = typename entry_hosts<Policy>::policy_factory;

    simulation(
        const workload& workload,
        const run_settings& settings,
        const policy_factory& make_policy);

    // The parts refer to each other.
    simulation(const simulation&) = delete;
    simulation& operator=(const simulation&) = delete;

    [[nodiscard]] measurements run();

private:
    void handle(const timed_event& event);
    void reach_server(simulated_request& request, std::uint64_t start_number);

    run_state state_;
    entry_hosts<Policy> hosts_;
    arrivals<Policy> arrivals_;
    engine_stepping<Policy> engines_;
    service_calls<Policy> services_;
    load_reports<Policy> reports_;
};

} // namespace godwit::bench
