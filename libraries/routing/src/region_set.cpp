#include <godwit/routing/region_set.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace godwit::routing {

region_set::region_set(std::optional<std::set<core::region_name>> regions)
    : regions_(std::move(regions))
{}

region_set region_set::only(std::set<core::region_name> regions)
{
    return region_set(std::move(regions));
}

bool region_set::contains(const core::region_name& region) const
{
    return !regions_ || regions_->contains(region);
}

region_set region_set::intersection(const region_set& other) const
{
    if (!regions_)
        return other;
    if (!other.regions_)
        return *this;
    std::set<core::region_name> both;
    std::set_intersection(
        regions_->begin(),
        regions_->end(),
        other.regions_->begin(),
        other.regions_->end(),
        std::inserter(both, both.end()));
    return only(std::move(both));
}

} // namespace godwit::routing
