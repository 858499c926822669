#pragma once

#include "run_state.hpp"

#include <godwit/dispatch/event.hpp>

#include <cstddef>

namespace godwit::bench {

/// The operator's policy, less what the run's variation withholds.
[[nodiscard]] dispatch::policy_changed policy_event(const run_state& run);

/// The backend servers that an entry host knows.
[[nodiscard]] dispatch::servers_changed
servers_event(const run_state& run, std::size_t host);

/// A request as its owner is told of it.
[[nodiscard]] dispatch::request_arrived
arrival_event(const run_state& run, const simulated_request& request);

} // namespace godwit::bench
