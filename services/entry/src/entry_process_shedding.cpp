#include <godwit/entry/entry_process.hpp>

#include <godwit/telemetry/log.hpp>

// Handing new callers to other hosts while this host's network link is
// saturated.

namespace godwit::entry {

using telemetry::log_event;
using telemetry::log_level;

namespace {

constexpr std::string_view component = "entry";

} // namespace

// A host that stops serves every connection that it is given until the load
// balancer has noticed.
void entry_process::shed_load()
{
    const core::time_point now = core::monotonic_now();
    const double use = context_.link.use(now);
    // The load of a large fleet is costly to sum up.
    if (!shedder_.is_shedding() && use < admission::load_shedder::shedding_use)
        return;
    admission::host_demand demand{
        use, context_.ledger.own_requests(), std::nullopt};
    if (fleet_size_ > 1 && neighbours_->open_links() > 0)
        demand.requests_elsewhere =
            static_cast<double>(context_.ledger.other_requests(now)) /
            static_cast<double>(fleet_size_ - 1);
    if (!shedder_.update(demand, now) || context_.is_stopping())
        return;
    callers_->set_shedding(shedder_.is_shedding());
    log_event(
        log_level::warning,
        component,
        shedder_.is_shedding() ? "shedding_begins" : "shedding_ends",
        {{"link_use", demand.link_use},
         {"requests", demand.requests},
         {"requests_elsewhere", demand.requests_elsewhere.value_or(0)},
         {"connections", callers_->open_connections()},
         {"shed", callers_->shed_connections()}});
}

} // namespace godwit::entry
