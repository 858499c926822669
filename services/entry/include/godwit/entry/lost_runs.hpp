#pragma once

#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/routed_call.hpp>
#include <godwit/entry/upstream.hpp>
#include <godwit/placement/backend_server.hpp>

namespace godwit::entry {

/// Whether the connection broke after at least part of the request was sent.
/// Timeouts and invalid responses do not count.
[[nodiscard]] bool is_lost_run(const upstream_failure& failure);

/// Logs that the connection to the server broke before the response was
/// complete. Also records a crash for the request and reports it to the other
/// hosts, unless the server was known to be leaving or still responds.
void record_lost_run(
    entry_context& context,
    const routed_call& call,
    const placement::backend_server& server);

/// Clears the crashes recorded for the request, on this host and the others,
/// after a run that did not crash the server.
void record_completed_run(entry_context& context, const routed_call& call);

} // namespace godwit::entry
