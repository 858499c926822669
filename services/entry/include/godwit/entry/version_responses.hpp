#pragma once

#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/placement/backend_server.hpp>

namespace godwit::entry {

/// How a server responded to a request.
enum class response_verdict
{
    good,
    failed, ///< Also a response that is invalid.
    lost,   ///< The connection broke.
};

/// Counts a response for the comparison of versions, if the service has a
/// running rollout. `latency` is the time until the response or, for a stream,
/// until its first event.
void record_version_response(
    entry_context& context,
    const routed_call& call,
    const placement::backend_server& server,
    response_verdict verdict,
    core::duration latency);

} // namespace godwit::entry
