#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

namespace godwit::dissemination {

/// The sources of what a fleet has to know.
enum class source_topic
{
    tables,  ///< Versions of the route table and other changes by operators.
    servers, ///< The list of backend servers.
    hosts,   ///< The list of entry hosts.
};

inline constexpr std::size_t source_topics = 3;

/// A position in a topic of a source; everything before it was read.
struct source_position
{
    /// Increases when the source restarts from an older copy.
    std::uint64_t epoch = 0;
    std::uint64_t offset = 0;

    // clang-tidy 14 takes the comparison with 0 inside a defaulted <=> for a
    // null pointer.
    // NOLINTBEGIN(modernize-use-nullptr)
    friend auto
    operator<=>(const source_position&, const source_position&) = default;
    // NOLINTEND(modernize-use-nullptr)
};

} // namespace godwit::dissemination
