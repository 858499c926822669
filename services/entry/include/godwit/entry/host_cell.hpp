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
/// to `max_full_mesh_hosts` hosts are one cell; beyond, a cell has at most
/// `max_cell_hosts` hosts, of one zone.
[[nodiscard]] std::vector<host_cell>
divide_into_cells(std::vector<known_host> hosts);

/// Fleets up to this size are linked pairwise.
inline constexpr std::size_t max_full_mesh_hosts = 9;

/// Hosts of one zone that are linked pairwise.
inline constexpr std::size_t max_cell_hosts = 32;

} // namespace godwit::entry
