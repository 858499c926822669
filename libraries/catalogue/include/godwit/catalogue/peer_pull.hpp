#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>

namespace godwit::catalogue {

/// A peer asks for every record from `next_offset` on.
struct peer_pull
{
    core::host_name peer;
    std::uint64_t next_offset = 0;

    friend bool operator==(const peer_pull&, const peer_pull&) = default;
};

} // namespace godwit::catalogue
