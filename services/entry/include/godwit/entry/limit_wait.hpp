#pragma once

#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/placement/backend_server.hpp>

#include <vector>

namespace godwit::entry {

/// Returns the time until the first server of the call that is not excluded
/// accepts another request: until then each is at its limit, is cold or asked
/// for a backoff.
[[nodiscard]] core::duration shortest_limit_wait(
    const entry_context& context,
    const routed_call& call,
    const std::vector<placement::server_id>& excluded,
    core::time_point now);

} // namespace godwit::entry
