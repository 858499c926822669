#pragma once

#include <godwit/entry/host_cell.hpp>
#include <godwit/entry/known_host.hpp>

#include <vector>

namespace godwit::entry {

/// The hosts to which `self` opens a link: each pair of a cell has one, and
/// each host has one to its counterpart in every other cell, over which the
/// cells tell their sums. With few cells a second counterpart stands in for
/// the first. News reaches everybody in three steps, and a host's work grows
/// with the number of cells alone.
[[nodiscard]] std::vector<known_host> select_neighbours(
    const std::vector<host_cell>& cells, const core::host_name& self);

} // namespace godwit::entry
