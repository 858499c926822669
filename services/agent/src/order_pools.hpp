#pragma once

#include <godwit/catalogue/state.hpp>
#include <godwit/orders/pool.hpp>
#include <godwit/orders/reconciler_event.hpp>
#include <godwit/platform/host_list.hpp>

#include <vector>

namespace godwit::agent {

/// The engine pools of the catalogue that have targets, sorted by service.
[[nodiscard]] std::vector<orders::pool>
pools_of(const catalogue::state& content);

/// The live engines of the host list.
[[nodiscard]] std::vector<orders::live_engine>
engines_of(const platform::host_list& list);

} // namespace godwit::agent
