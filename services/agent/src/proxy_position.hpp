#pragma once

#include <cstdint>
#include <optional>

namespace godwit::agent {

/// What one proxy has, and what was sent to it.
struct proxy_position
{
    /// What it said last that it has in force; none before it said anything.
    std::optional<std::uint64_t> in_force;

    std::uint64_t hash = 0; ///< Of what it has in force.

    /// What it will have once it has taken everything that was sent.
    std::uint64_t sent = 0;

    /// The offset of a snapshot that was sent and is not in force yet.
    std::optional<std::uint64_t> snapshot_under_way;

    friend bool
    operator==(const proxy_position&, const proxy_position&) = default;
};

} // namespace godwit::agent
