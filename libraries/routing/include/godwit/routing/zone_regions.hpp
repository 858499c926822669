#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/routing/region_set.hpp>

#include <map>
#include <utility>

namespace godwit::routing {

/// The region of each availability zone of a deployment.
class zone_regions
{
public:
    zone_regions() = default;

    explicit zone_regions(std::map<core::zone_name, core::region_name> regions)
        : regions_(std::move(regions))
    {}

    /// Whether `allowed` contains the zone's region. A zone without a known
    /// region is only in the set of all regions.
    [[nodiscard]] bool
    is_in(const core::zone_name& zone, const region_set& allowed) const;

    /// Whether any zone's region is in `allowed`; true without zones if all
    /// regions are allowed.
    [[nodiscard]] bool has_zone_in(const region_set& allowed) const;

    /// Whether both zones are known to be in different regions.
    [[nodiscard]] bool are_in_different_regions(
        const core::zone_name& left, const core::zone_name& right) const;

    friend bool operator==(const zone_regions&, const zone_regions&) = default;

private:
    std::map<core::zone_name, core::region_name> regions_;
};

} // namespace godwit::routing
