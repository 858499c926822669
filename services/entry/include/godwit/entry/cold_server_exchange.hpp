#pragma once

#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/placement/backend_server.hpp>

namespace godwit::entry {

/// Records that the server is cold for `remaining`. Returns whether this is
/// news; false if the service needs no warm-up.
[[nodiscard]] bool record_cold_server(
    entry_context& context,
    const placement::backend_server& server,
    core::duration remaining);

/// Presumes that the server has just become cold: it started, or the evacuation
/// of its zone ended. Every host notices this by itself.
void presume_cold(
    entry_context& context, const placement::backend_server& server);

/// Counts a request to the server, and reports it to the neighbours if the
/// server is cold.
void record_request_to_cold_server(
    entry_context& context, const placement::server_id& server);

} // namespace godwit::entry
