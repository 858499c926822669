#pragma once

#include "entry_hosts.hpp"
#include "run_state.hpp"

namespace godwit::bench {

/// The way of new requests to the entry host that owns them.
template<entry_policy Policy>
class arrivals
{
public:
    /// Both outlive this.
    arrivals(run_state& run, entry_hosts<Policy>& hosts);

    /// Schedules every request of the run.
    void start();

    void arrive(simulated_request& request);

private:
    [[nodiscard]] std::size_t draw_home();
    [[nodiscard]] std::size_t choose_home();

    run_state& run_;
    entry_hosts<Policy>& hosts_;
};

} // namespace godwit::bench
