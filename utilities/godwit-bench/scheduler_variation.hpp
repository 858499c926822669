#pragma once

#include <godwit/core/time.hpp>

#include <cstdint>
#include <string>

namespace godwit::bench {

/// Who decides about a backend server's memory.
enum class granting
{
    independent_hosts, ///< Each entry host on its own.
    home_hosts,        ///< The one entry host that is the server's home.
};

/// How a run deviates from the scheduler's normal use. A mechanism is taken
/// out by withholding the events or the names that it lives on.
struct scheduler_variation
{
    std::string name = "godwit";
    std::uint32_t candidates = 2;
    double length_quantile = 0.4;
    /// 0 is the workload's own.
    double overcommit = 0.0;
    /// Of a long request in the queue; 0 is the workload's own.
    double longest_wait_s = 0.0;
    bool advance_reports = true;
    /// Whether hosts know how many others send to the same servers.
    bool knows_entry_hosts = true;
    bool classes = true;
    bool organisations = true;
    bool floors = true;
    bool prefixes = true;
    bool preemption_events = true;
    bool engine_priorities = true;
    /// Whether engines take orders to raise a priority; no such order is in
    /// the protocol.
    bool raises = false;
    bool longest_waits = true;
    bool zones = true;
    bool deadlines = true;
    granting grants = granting::independent_hosts;
    /// One way between entry hosts, for grants by home hosts.
    core::duration hop{};
};

} // namespace godwit::bench
