#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/placement/placer.hpp>

#include <tl/expected.hpp>

namespace godwit::entry {

/// Chooses a server of a version that the request may use. During a rollout a
/// small share of the requests tries the target version first.
[[nodiscard]] tl::
    expected<placement::placement_choice, placement::placement_failure>
    choose_by_version(
        entry_context& context,
        const routed_call& call,
        placement::placement_request request,
        core::time_point now);

/// Restricts the placement of a running generation to the version of its
/// server, if the service has a rollout: another version cannot go on with its
/// KV cache.
void keep_version(
    const entry_context& context,
    const placement::backend_server& server,
    placement::placement_request& request);

} // namespace godwit::entry
