#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/membership/listed_server.hpp>

#include <cstddef>
#include <set>
#include <vector>

namespace godwit::proxy {

/// The servers that this entry host asks for their load: of each service the
/// `limit` first by rendezvous hashing, those of its own zone before others.
/// Membership ranks in the same way, but only servers that have reported.
[[nodiscard]] std::set<core::server_address> poll_subset(
    const std::vector<membership::listed_server>& listed,
    const core::host_name& host,
    const core::zone_name& zone,
    std::size_t limit);

} // namespace godwit::proxy
