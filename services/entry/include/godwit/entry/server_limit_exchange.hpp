#pragma once

#include <godwit/core/result.hpp>
#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/response_metadata.hpp>
#include <godwit/placement/backend_server.hpp>
#include <godwit/placement/server_limits.hpp>
#include <godwit/wire/server_limits.hpp>

namespace godwit::entry {

/// Converts a limit to its wire form, with the age of the server's response at
/// `now`. `sends` is the number of requests that this host sent.
[[nodiscard]] wire::server_limit to_wire(
    const placement::server_limit& limit, unsigned sends, core::time_point now);

/// Converts a limit from another host. Fails with `protocol` if the server id
/// is missing, or the limit or the number of requests is out of range.
[[nodiscard]] core::result<placement::server_limit>
to_server_limit(const wire::server_limit& received, core::time_point now);

/// Counts a request to the server, and reports it to the neighbours if the
/// server is limited or cold.
void record_request(entry_context& context, const placement::server_id& server);

/// Applies the limit in the response to a request that was sent at `sent_at`,
/// and reports the limit to the neighbours if it changed.
void update_limit(
    entry_context& context,
    const placement::backend_server& server,
    const response_metadata& metadata,
    core::time_point sent_at);

} // namespace godwit::entry
