#pragma once

#include <godwit/core/identifiers.hpp>

#include <cstdint>

namespace godwit::agent {

/// Drawn anew by each run of a process.
struct incarnation
{
    core::incarnation_id id;
    std::uint64_t seed = 0;

    /// Draws one for `host` from the operating system's generator.
    [[nodiscard]] static incarnation draw(const core::host_name& host);
};

} // namespace godwit::agent
