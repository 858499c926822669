#pragma once

#include "service_queue.hpp"
#include "tracked_request.hpp"

#include <godwit/core/time.hpp>

namespace godwit::dispatch {

/// Whether `server` has room for `request`: its prompt and expected answer
/// beside what the server holds, what that is expected to grow by, and what
/// is kept for other classes.
[[nodiscard]] bool admits(
    const service_queue& service,
    const server_account& server,
    const tracked_request& request,
    core::time_point now);

/// The share of `server` that is taken or promised; 1 is full.
[[nodiscard]] double
occupancy(const service_queue& service, const server_account& server);

} // namespace godwit::dispatch
