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

    friend bool operator==(const known_host&, const known_host&) = default;
    friend auto operator<=>(const known_host&, const known_host&) = default;
};

/// The hosts to which `self` keeps a link. Up to `full_mesh` hosts, each
/// pair has one link. Beyond it each host links to those 1, 2, 4, ... places
/// further in the order of names, so that news reaches everybody over few
/// links and a host has work for a logarithm of the fleet only.
[[nodiscard]] std::vector<known_host>
choose_neighbours(std::vector<known_host> hosts, const core::host_name& self);

/// Fleets up to this size are linked pairwise.
inline constexpr std::size_t full_mesh = 9;

} // namespace godwit::entry
