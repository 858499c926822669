#pragma once

#include "entry_hosts.hpp"
#include "run_state.hpp"

#include <cstddef>

namespace godwit::bench {

/// The calls at the plain service's replicas.
template<entry_policy Policy>
class service_calls
{
public:
    /// Both outlive this.
    service_calls(run_state& run, entry_hosts<Policy>& hosts);

    /// A call reaches its replica: it runs, or waits for one that ends.
    void reach(simulated_request& request);

    void end(std::size_t server, simulated_request& request);

private:
    void begin(std::size_t server, std::size_t request);

    run_state& run_;
    entry_hosts<Policy>& hosts_;
};

} // namespace godwit::bench
