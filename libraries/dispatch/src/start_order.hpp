#pragma once

#include "service_queue.hpp"

#include <godwit/core/time.hpp>

#include <vector>

namespace godwit::dispatch {

/// The classes with queued requests, in the order in which they may start:
/// those below a floor first, then by tokens received against weight.
[[nodiscard]] std::vector<class_queue*> start_order(service_queue& service);

/// Lets past starts fade, for the floors of starts.
void fade_starts(service_queue& service, core::time_point now);

} // namespace godwit::dispatch
