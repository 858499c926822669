#pragma once

#include <godwit/placement/zone_evacuations.hpp>
#include <godwit/wire/zone_evacuations.hpp>

#include <vector>

namespace godwit::entry {

/// Converts evacuations to their wire form.
[[nodiscard]] wire::zone_evacuations
to_wire(const std::vector<placement::zone_evacuation>& changes);

/// Converts the evacuations in a message of another host, except those without
/// a zone.
[[nodiscard]] std::vector<placement::zone_evacuation>
from_wire(const wire::zone_evacuations& message);

} // namespace godwit::entry
