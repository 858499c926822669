#pragma once

#include <godwit/entry/known_host.hpp>
#include <godwit/placement/load_ledger.hpp>

#include <cstddef>
#include <vector>

namespace godwit::entry {

/// A cell: a group of hosts that are linked pairwise and know each other's load
/// exactly. Hosts of other cells receive only the sums of this load. The
/// placement library calls a cell `host_group`.
struct host_cell
{
    placement::host_group name;
    std::vector<known_host> members; ///< Ordered by name.

    friend bool operator==(const host_cell&, const host_cell&) = default;
};

/// Divides a fleet into cells. The result is the same at each host that knows
/// the same hosts. Up to `max_full_mesh_hosts` hosts are one cell; beyond, a
/// cell has at most `max_cell_hosts` hosts, all of one zone.
[[nodiscard]] std::vector<host_cell>
divide_into_cells(std::vector<known_host> hosts);

/// Fleets up to this size are linked pairwise.
inline constexpr std::size_t max_full_mesh_hosts = 9;

/// Maximum number of hosts in a cell of a larger fleet.
inline constexpr std::size_t max_cell_hosts = 32;

} // namespace godwit::entry
