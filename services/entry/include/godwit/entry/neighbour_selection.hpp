#pragma once

#include <godwit/entry/host_cell.hpp>
#include <godwit/entry/known_host.hpp>

#include <vector>

namespace godwit::entry {

/// Selects the hosts to which `self` opens a link. Each pair of hosts in a cell
/// is linked. Each host is also linked to its counterpart in every other cell:
/// the host at the same position in that cell's list of members, counted modulo
/// its size. The cells exchange their load sums over these links. With few
/// cells each host has a link to the next member as well, as a backup of the
/// link to the counterpart. Messages reach every host in three hops, and a
/// host's work grows only with the number of cells.
[[nodiscard]] std::vector<known_host> select_neighbours(
    const std::vector<host_cell>& cells, const core::host_name& self);

} // namespace godwit::entry
