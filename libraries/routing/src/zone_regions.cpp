#include <godwit/routing/zone_regions.hpp>

#include <algorithm>

namespace godwit::routing {

bool zone_regions::is_in(
    const core::zone_name& zone, const region_set& allowed) const
{
    if (allowed.is_unrestricted())
        return true;
    const auto found = regions_.find(zone);
    return found != regions_.end() && allowed.contains(found->second);
}

bool zone_regions::has_zone_in(const region_set& allowed) const
{
    return allowed.is_unrestricted() ||
           std::any_of(
               regions_.begin(), regions_.end(), [&allowed](const auto& known) {
                   return allowed.contains(known.second);
               });
}

bool zone_regions::are_in_different_regions(
    const core::zone_name& left, const core::zone_name& right) const
{
    const auto first = regions_.find(left);
    const auto second = regions_.find(right);
    return first != regions_.end() && second != regions_.end() &&
           first->second != second->second;
}

} // namespace godwit::routing
