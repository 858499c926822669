#pragma once

#include <godwit/catalogue/member.hpp>
#include <godwit/core/identifiers.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace godwit::catalogue {

/// The hosts to which `self` sends its digests: the next one on a ring of
/// hashed names, which keeps the graph connected, one of another
/// availability zone, and the rest by rendezvous hashing, which keeps it
/// shallow. At most `count`; a host that comes or goes moves few links.
[[nodiscard]] std::vector<core::host_name> choose_neighbours(
    const core::host_name& self,
    const std::vector<member>& members,
    std::size_t count);

/// The position of `self` among `members` for the duty `key`: 0 acts first.
/// A host that the list does not name comes last.
[[nodiscard]] std::size_t rank_for(
    const std::string& key,
    const core::host_name& self,
    const std::vector<member>& members);

} // namespace godwit::catalogue
