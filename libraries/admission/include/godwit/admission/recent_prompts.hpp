#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <deque>
#include <set>
#include <string>
#include <vector>

namespace godwit::admission {

/// The prompts of runs that completed on this host lately, by the ids of their
/// shared parts. Kept before any crash is known, so that a first crash does not
/// make parts suspect that run everywhere.
class recent_prompts
{
public:
    /// How long a prompt is kept.
    static constexpr core::duration retention = std::chrono::seconds(5);
    /// The oldest prompts are dropped beyond this number.
    static constexpr std::size_t max_prompts = 1024;

    /// Adds the prompt of a run that completed at `now`.
    void add(std::vector<std::string> part_ids, core::time_point now);

    /// Returns the parts of all prompts kept at `now`.
    [[nodiscard]] std::set<std::string> part_ids(core::time_point now) const;

    [[nodiscard]] std::size_t size() const noexcept { return prompts_.size(); }

private:
    struct prompt
    {
        core::time_point completed_at;
        std::vector<std::string> part_ids;
    };

    std::deque<prompt> prompts_; ///< In the order of their completion.
};

} // namespace godwit::admission
