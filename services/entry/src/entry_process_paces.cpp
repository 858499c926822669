#include <godwit/entry/entry_process.hpp>

#include <godwit/entry/server_id_list.hpp>

#include <godwit/telemetry/log.hpp>

#include <chrono>

// Which backend servers write slower than the others of their service.

namespace godwit::entry {

namespace {

// Sums of other cells come this often; two late events take longer.
constexpr core::duration comparison_interval = std::chrono::milliseconds(100);

} // namespace

void entry_process::compare_paces()
{
    const core::time_point now = core::monotonic_now();
    if (!context_.routes || now - compared_at_ < comparison_interval)
        return;
    compared_at_ = now;
    for (const routing::service& service :
         context_.routes->content().services) {
        if (service.engine)
            compare_paces_of(service, now);
    }
}

void entry_process::compare_paces_of(
    const routing::service& service, core::time_point now)
{
    const auto seen = placement::observed_gaps(
        context_.directory, context_.ledger, service.name, now);
    const auto changes = context_.slow_servers.compare(seen, now);
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
         {"compared", seen.size()}});
}

} // namespace godwit::entry
