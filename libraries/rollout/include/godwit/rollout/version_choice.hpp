#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/placer.hpp>
#include <godwit/rollout/rollouts.hpp>

#include <tl/expected.hpp>

#include <string_view>

namespace godwit::rollout {

/// A request for which a version is chosen.
struct version_request
{
    std::string_view request_id;
    /// Whether this host receives reports of the other hosts' responses.
    bool has_reports = false;
};

/// Chooses a server of a version that the request may use. During a rollout a
/// small share of the requests tries the target version first.
[[nodiscard]] tl::
    expected<placement::placement_choice, placement::placement_failure>
    choose_by_version(
        placement::placer& placer,
        const rollouts& known,
        placement::placement_request request,
        const version_request& caller,
        core::time_point now);

/// Restricts the placement of a running generation to the version of its
/// server, if the service has a rollout: another version cannot go on with its
/// KV cache.
void keep_version(
    const rollouts& known,
    const placement::backend_server& server,
    placement::placement_request& request);

} // namespace godwit::rollout
