#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/server_id_list.hpp>

#include <godwit/telemetry/log.hpp>

#include <chrono>

// Detects backend servers that generate slower than the others of their
// service.

namespace godwit::entry {

namespace {

// Interval between two comparisons of the servers: the interval at which other
// cells report. Two late events take longer than it.
constexpr core::duration comparison_interval = std::chrono::milliseconds(100);

} // namespace

void entry_process::detect_slow_servers()
{
    const core::time_point now = core::monotonic_now();
    if (!context_.routes ||
        now - slow_servers_checked_at_ < comparison_interval)
        return;
    slow_servers_checked_at_ = now;
    for (const routing::service& service :
         context_.routes->content().services) {
        if (service.engine)
            detect_slow_servers_of(service, now);
    }
}

void entry_process::detect_slow_servers_of(
    const routing::service& service, core::time_point now)
{
    const auto observed = placement::observed_gaps(
        context_.directory, context_.ledger, service.name, now);
    const auto changes = context_.slow_servers.compare(observed, now);
    if (changes == placement::speed_changes())
        return;
    telemetry::log_event(
        telemetry::log_level::info,
        "entry",
        "server_paces",
        {{"service", service.name},
         {"slower", changes.slower.size()},
         {"slower_first", join_first_ids(changes.slower)},
         {"recovered", changes.recovered.size()},
         {"recovered_first", join_first_ids(changes.recovered)},
         {"compared", observed.size()}});
}

} // namespace godwit::entry
