#pragma once

#include <godwit/replay/generation_outcome.hpp>

#include <vector>

namespace godwit::replay {

/// The result of a replay.
struct replay_report
{
    std::vector<generation_outcome> outcomes;
    /// Mean of the tokens in the memory of all engines over time.
    double mean_used_tokens = 0;

    friend bool
    operator==(const replay_report&, const replay_report&) = default;
};

} // namespace godwit::replay
