#pragma once

#include <godwit/catalogue/state.hpp>
#include <godwit/orders/reconciler_event.hpp>
#include <godwit/platform/host_list.hpp>

namespace godwit::agent {

/// The pools of engines that a catalogue wants, sorted by service.
[[nodiscard]] orders::pools_changed pools_of(const catalogue::state& content);

/// The live engines of a host list, sorted by address.
[[nodiscard]] orders::engines_changed
engines_of(const platform::host_list& list);

} // namespace godwit::agent
