#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/routing/region_set.hpp>

#include <optional>
#include <string>
#include <vector>

namespace godwit::routing {

/// A customer that sends requests, and the keys that authenticate it.
struct organisation
{
    core::organisation_name name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< Overrides the route's.
    /// Where its requests may be processed; the route's regions apply as well.
    region_set allowed_regions = region_set::all();

    friend bool operator==(const organisation&, const organisation&) = default;
};

} // namespace godwit::routing
