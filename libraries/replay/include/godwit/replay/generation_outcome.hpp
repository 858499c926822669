#pragma once

#include <godwit/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>

namespace godwit::replay {

/// The outcome of a generation.
struct generation_outcome
{
    std::optional<core::time_point> placed;
    std::optional<std::size_t> engine; ///< Where it was placed.
    std::optional<core::time_point> first_event;
    std::optional<core::time_point> ended;
    std::optional<core::time_point> rejected;
    core::duration max_gap{}; ///< Longest time between two of its events.
    std::uint32_t preemptions = 0;

    friend bool
    operator==(const generation_outcome&, const generation_outcome&) = default;
};

} // namespace godwit::replay
