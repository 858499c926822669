#pragma once

#include <godwit/telemetry/metrics.hpp>

namespace godwit::agent {

/// The agent's own measurements; filled when they are asked for.
struct agent_gauges
{
    prometheus::Gauge& ready;
    prometheus::Gauge& next_offset;
    prometheus::Gauge& in_force;
    prometheus::Gauge& age_seconds;
    prometheus::Gauge& alarms;
    prometheus::Gauge& log_available;
    prometheus::Gauge& peers;
    prometheus::Gauge& proxies;
    prometheus::Gauge& appends;
    prometheus::Gauge& appends_refused;
    prometheus::Gauge& appends_unknown;
    prometheus::Gauge& reads_failed;
    prometheus::Gauge& claims_ready;
    prometheus::Gauge& claims_remembered;
    prometheus::Gauge& claims_asked;
    prometheus::Gauge& claims_won;
    prometheus::Gauge& claims_unavailable;
    prometheus::Counter& pauses;
    prometheus::Counter& bad_links;

    /// Registers them with `metrics`, which must outlive them.
    [[nodiscard]] static agent_gauges create(telemetry::metrics& metrics);
};

} // namespace godwit::agent
