#pragma once

#include <godwit/core/identifiers.hpp>
#include <godwit/core/time.hpp>

#include <cstdint>
#include <optional>

namespace godwit::catalogue {

/// What a peer agent has; constant in size.
struct peer_digest
{
    core::host_name peer;
    std::uint64_t next_offset = 0;
    /// Of its state at that offset.
    std::uint64_t hash = 0;
    /// How long ago the log, directly or through peers, last confirmed
    /// that this is the newest content; none if it never did.
    std::optional<core::duration> age;

    friend bool operator==(const peer_digest&, const peer_digest&) = default;
};

} // namespace godwit::catalogue
