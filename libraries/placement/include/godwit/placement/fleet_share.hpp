#pragma once

#include <cstddef>

namespace godwit::placement {

/// Returns the part of a limit of the whole fleet that `linked` hosts, which
/// know each other's requests, may use together: never more than all of it,
/// also in a fleet that is partitioned. Both numbers include this host.
[[nodiscard]] double fleet_share(std::size_t linked, std::size_t fleet_size);

} // namespace godwit::placement
