#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>
#include <godwit/dispatch/placement_reason.hpp>

namespace godwit::dispatch {

/// Send the request to the server now. Answer with `request_started` or
/// `start_failed`.
struct start_request
{
    /// The request.
    core::request_id id;
    /// Where to.
    core::server_address server;
    /// Priority at the engine, 0 to 9, higher first.
    int priority = 0;
    /// Why this server.
    placement_reason reason = placement_reason::least_load;
    /// How long it was queued.
    core::duration waited{};

    friend bool
    operator==(const start_request&, const start_request&) = default;
};

} // namespace godwit::dispatch
