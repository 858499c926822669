#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/placement/placer.hpp>
#include <godwit/routing/region_set.hpp>

namespace godwit::entry {

/// Returns the regions in which the request may be processed from now on: those
/// that were allowed when it arrived and that the route table in force allows.
[[nodiscard]] routing::region_set
allowed_regions_of(const entry_context& context, const routed_call& call);

/// Whether the request may be processed in the zone from now on.
[[nodiscard]] bool may_process_in(
    const entry_context& context,
    const routed_call& call,
    const core::zone_name& zone);

/// Restricts the placement of the request to its allowed regions.
void restrict_to_allowed_regions(
    const entry_context& context,
    const routed_call& call,
    placement::placement_request& request);

} // namespace godwit::entry
