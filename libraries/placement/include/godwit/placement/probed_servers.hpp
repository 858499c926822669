#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/random.hpp>
#include <godwit/http/endpoint.hpp>
#include <godwit/placement/server_directory.hpp>

#include <cstddef>
#include <vector>

namespace godwit::placement {

/// Returns the addresses of at most `count` usable servers, chosen at random,
/// to which connections show whether a host of `zone` has links to any server.
[[nodiscard]] std::vector<http::endpoint> choose_probed_servers(
    const server_directory& directory,
    const core::zone_name& zone,
    std::size_t count,
    core::random& random);

} // namespace godwit::placement
