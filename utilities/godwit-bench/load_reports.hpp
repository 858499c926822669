#pragma once

#include "entry_hosts.hpp"
#include "run_state.hpp"

#include <godwit/dispatch/event.hpp>

#include <cstddef>
#include <vector>

namespace godwit::bench {

/// The servers' load, measured at intervals and told to the entry hosts late.
template<entry_policy Policy>
class load_reports
{
public:
    /// Both outlive this.
    load_reports(run_state& run, entry_hosts<Policy>& hosts);

    void start();
    void sample();
    void deliver(std::size_t number);

private:
    void send(dispatch::load_reported report);

    run_state& run_;
    entry_hosts<Policy>& hosts_;
    std::vector<dispatch::load_reported> reports_;
};

} // namespace godwit::bench
