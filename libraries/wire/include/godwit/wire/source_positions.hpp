#pragma once

#include <cstdint>
#include <optional>

namespace godwit::wire {

/// A position in a topic of a source.
struct source_position
{
    std::uint64_t epoch = 0;
    std::uint64_t offset = 0;

    friend bool
    operator==(const source_position&, const source_position&) = default;
};

/// How far the sender has read its sources. A position is empty if it does not
/// read that source now; what it knows includes everything before the position.
struct source_positions
{
    std::optional<source_position> tables;
    std::uint64_t table_version = 0; ///< In force at the sender.
    std::optional<source_position> servers;
    std::uint64_t server_digest = 0; ///< Of the sender's list of servers.
    std::optional<source_position> hosts;

    friend bool
    operator==(const source_positions&, const source_positions&) = default;
};

} // namespace godwit::wire
