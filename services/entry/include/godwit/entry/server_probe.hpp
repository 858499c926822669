#pragma once

#include <godwit/core/time.hpp>
#include <godwit/entry/entry_context.hpp>
#include <godwit/entry/process_state.hpp>
#include <godwit/placement/backend_server.hpp>

#include <boost/asio/awaitable.hpp>

#include <chrono>

namespace godwit::entry {

/// How long a probe of a server takes at the most, unless a request needs more.
inline constexpr core::duration probe_timeout = std::chrono::milliseconds(250);

/// Asks a backend server until `end` whether its process still runs: an engine
/// for its report, another server for its health.
boost::asio::awaitable<process_state> probe_process(
    entry_context& context,
    placement::backend_server server,
    core::time_point end);

} // namespace godwit::entry
