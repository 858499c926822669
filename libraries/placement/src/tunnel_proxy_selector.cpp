#include <godwit/placement/tunnel_proxy_selector.hpp>

#include <cstddef>
#include <tuple>
#include <utility>

namespace godwit::placement {

tunnel_proxy_selector::tunnel_proxy_selector(
    core::zone_name zone, std::uint64_t seed)
    : zone_(std::move(zone)), random_(seed)
{}

// Hosts of one zone often lose their links together, so that a zone whose hosts
// opened no tunnel comes last.
std::optional<tunnel_proxy> tunnel_proxy_selector::choose(
    const std::vector<tunnel_proxy>& neighbours,
    const core::zone_name& server_zone,
    const routing::zone_regions& regions,
    core::time_point now)
{
    std::erase_if(unusable_until_, [now](const auto& each) {
        return each.second <= now;
    });
    std::map<core::zone_name, std::size_t> unusable_in_zone;
    for (const tunnel_proxy& each : neighbours)
        unusable_in_zone[each.zone] += unusable_until_.count(each.host);
    std::optional<tunnel_proxy> best;
    std::tuple<std::size_t, bool, std::uint64_t> best_rank;
    for (const tunnel_proxy& each : neighbours) {
        const bool is_in_third_region =
            regions.are_in_different_regions(each.zone, zone_) &&
            regions.are_in_different_regions(each.zone, server_zone);
        if (is_in_third_region || unusable_until_.contains(each.host))
            continue;
        const std::tuple rank(
            unusable_in_zone[each.zone], each.zone != zone_, random_.next());
        if (best && best_rank <= rank)
            continue;
        best = each;
        best_rank = rank;
    }
    return best;
}

void tunnel_proxy_selector::record_unusable(
    const core::host_name& host, core::time_point now)
{
    unusable_until_[host] = now + unusable_duration;
}

} // namespace godwit::placement
