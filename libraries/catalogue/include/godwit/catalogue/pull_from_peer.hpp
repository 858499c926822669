#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>

namespace godwit::catalogue {

/// Send a pull to `peer`; answer with `peer_records`, `peer_snapshot`,
/// `peer_digest` or `pull_failed`.
struct pull_from_peer
{
    core::host_name peer;
    std::uint64_t next_offset = 0;

    friend bool
    operator==(const pull_from_peer&, const pull_from_peer&) = default;
};

} // namespace godwit::catalogue
