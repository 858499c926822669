#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/http/endpoint.hpp>

#include <cstddef>
#include <vector>

namespace godwit::entry {

/// An entry host, and where other entry hosts reach it.
struct known_host
{
    core::host_name name;
    http::endpoint address;
    core::zone_name zone;

    friend bool operator==(const known_host&, const known_host&) = default;
    // clang-tidy 14 takes the comparison with 0 inside a defaulted <=> for a
    // null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const known_host&, const known_host&) = default;
};

/// The hosts to which `self` opens a link. Up to `full_mesh` hosts, each
/// pair has one link. Beyond it each pair of a cell has one: at most
/// `cell_size` hosts of one zone, which know each other's work exactly. The
/// cells are tied together by links to the hosts 1, 2, 4, ... places further
/// in the order of names, so that news reaches everybody in few steps and a
/// host's work does not grow with the fleet but by its logarithm.
[[nodiscard]] std::vector<known_host>
choose_neighbours(std::vector<known_host> hosts, const core::host_name& self);

/// Fleets up to this size are linked pairwise.
inline constexpr std::size_t full_mesh = 9;

/// Hosts of one zone that are linked pairwise.
inline constexpr std::size_t cell_size = 32;

} // namespace godwit::entry
