#pragma once

#include <godwit/entry/host_cell.hpp>
#include <godwit/entry/known_host.hpp>

#include <vector>

namespace godwit::entry {

/// Selects the hosts to which `self` opens a link. Each pair of hosts in a cell
/// has one, and each host has one to its counterpart in every other cell, over
/// which the cells exchange their load sums. With few cells a second
/// counterpart is the backup of the first. Messages reach every host in three
/// hops, and a host's work grows only with the number of cells.
[[nodiscard]] std::vector<known_host> select_neighbours(
    const std::vector<host_cell>& cells, const core::host_name& self);

} // namespace godwit::entry
