#include <godwit/rollout/version_capacity.hpp>

namespace godwit::rollout {

bool version_capacity::is_target_sufficient() const noexcept
{
    return target_slots > 0 &&
           static_cast<double>(target_slots) >=
               min_ratio * static_cast<double>(former_slots);
}

version_capacity capacity_of(
    const rollouts& known,
    const rollout_order& order,
    const placement::server_directory& directory,
    const placement::load_ledger& ledger,
    const placement::zone_evacuations& evacuations,
    core::time_point now)
{
    const auto former = known.former_versions(order.service);
    version_capacity sums;
    for (const placement::backend_server* server :
         directory.usable(order.service)) {
        const std::uint64_t slots =
            evacuations.is_evacuated(server->zone) ? 0 : server->slots;
        if (server->version == order.target) {
            sums.target_slots += slots;
        } else if (former.allows(server->version)) {
            sums.former_slots += slots;
            sums.former_requests += ledger.at(server->id, now).requests;
        }
    }
    return sums;
}

} // namespace godwit::rollout
