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

/// What a host reads of the list of servers.
enum class reader_role : std::uint8_t
{
    none,
    reader,  ///< It reads the list for its cell.
    primary, ///< It reads the list for the fleet.
};

/// Returns the hosts to which this host passes on the change, if any.
[[nodiscard]] std::optional<audience>
change_audience(change_origin origin, reader_role role) noexcept;

} // namespace godwit::entry
