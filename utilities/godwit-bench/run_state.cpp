#include "run_state.hpp"

#include <algorithm>

namespace godwit::bench {

namespace {

std::size_t zone_count(const workload& plan)
{
    return std::max<std::size_t>(plan.engines.size(), 1);
}

} // namespace

run_state::run_state(const workload& offered, const run_settings& of_run)
    : plan(offered), settings(of_run), random(of_run.seed * 77 + 5),
      requests(offered.generate(of_run.load, of_run.seed))
{
    for (std::size_t zone = 0; zone < plan.engines.size(); ++zone) {
        for (std::size_t count = 0; count < plan.engines[zone]; ++count) {
            engines.push_back(
                {.model = engine_model(plan.engine),
                 .zone = zone,
                 .outcome = {}});
        }
    }
    for (std::size_t index = 0; index < plan.service_replicas; ++index)
        services.push_back({.zone = index % zone_count(plan), .waiting = {}});
}

bool run_state::is_engine(std::size_t server) const
{
    return server < engines.size();
}

plain_service& run_state::service_at(std::size_t server)
{
    return services[server - engines.size()];
}

std::size_t run_state::zone_of(std::size_t server) const
{
    return is_engine(server) ? engines[server].zone
                             : services[server - engines.size()].zone;
}

std::size_t run_state::zone_of_host(std::size_t host) const
{
    return host % zone_count(plan);
}

core::duration run_state::latency(std::size_t zone, std::size_t other) const
{
    return zone == other ? plan.within_zone : plan.between_zones;
}

bool run_state::is_call(const simulated_request& request) const
{
    return plan.classes[request.class_index].kind ==
           dispatch::request_kind::call;
}

bool run_state::home_hosts() const
{
    return settings.variation.grants == granting::home_hosts;
}

std::size_t run_state::home_of(std::size_t engine) const
{
    // The hosts of a zone share its engines.
    const std::size_t zones = plan.engines.size();
    const std::size_t hosts_a_zone = plan.entry_hosts / zones;
    return engines[engine].zone + zones * (engine % hosts_a_zone);
}

} // namespace godwit::bench
