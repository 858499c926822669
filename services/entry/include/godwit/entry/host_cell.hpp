#pragma once

#include <godwit/entry/known_host.hpp>
#include <godwit/placement/load_ledger.hpp>

#include <cstddef>
#include <vector>

namespace godwit::entry {

/// Hosts that are linked pairwise and know each other's work exactly; other
/// cells hear the sums of it.
struct host_cell
{
    placement::host_group name;
    std::vector<known_host> members; ///< Ordered by name.

    friend bool operator==(const host_cell&, const host_cell&) = default;
};

/// The cells of a fleet, the same at each host that knows the same hosts. Up
/// to `full_mesh` hosts are one cell; beyond, a cell has at most `cell_size`
/// hosts, of one zone.
[[nodiscard]] std::vector<host_cell> cells_of(std::vector<known_host> hosts);

/// Fleets up to this size are linked pairwise.
inline constexpr std::size_t full_mesh = 9;

/// Hosts of one zone that are linked pairwise.
inline constexpr std::size_t cell_size = 32;

} // namespace godwit::entry
