#pragma once

#include "engine_model.hpp"

#include <cstddef>
#include <cstdint>

namespace godwit::bench {

/// An engine of a run, and the step that it is in.
struct simulated_engine
{
    engine_model model;
    std::size_t zone = 0;
    bool alive = true;
    bool stepping = false;
    /// Tells the end of a step from one before a loss.
    std::uint64_t epoch = 0;
    std::uint64_t next_cache_event = 0;
    step_outcome outcome;
};

} // namespace godwit::bench
