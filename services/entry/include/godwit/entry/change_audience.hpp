#pragma once

#include <godwit/entry/neighbour_links.hpp>

#include <cstdint>
#include <optional>

namespace godwit::entry {

/// From where this host learned that a server changed.
enum class change_origin : std::uint8_t
{
    own,        ///< From the source of the list, or from the server.
    own_cell,   ///< From a host of this host's cell.
    other_cell, ///< From a host of another cell.
};

/// Returns the hosts to which this host passes on the change, if any.
[[nodiscard]] std::optional<audience>
change_audience(change_origin origin, bool is_primary_reader) noexcept;

} // namespace godwit::entry
