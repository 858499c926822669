#pragma once

#include <godwit/dissemination/source_position.hpp>

#include <cstdint>
#include <optional>

namespace godwit::dissemination {

/// What identifies the contents that a host has in force.
struct known_contents
{
    std::uint64_t table_version = 0; ///< 0 without a table.
    std::uint64_t server_digest = 0; ///< Of the list of backend servers.

    friend bool
    operator==(const known_contents&, const known_contents&) = default;
};

/// How far a host has read its sources. A position is empty if it does not read
/// that source now.
struct source_report
{
    std::optional<source_position> tables;
    std::optional<source_position> servers;
    std::optional<source_position> hosts;
    /// What the host has in force; it includes everything before the positions.
    known_contents contents;

    friend bool
    operator==(const source_report&, const source_report&) = default;
};

} // namespace godwit::dissemination
