#pragma once

#include "timed_event.hpp"

#include <functional>
#include <optional>
#include <queue>
#include <vector>

namespace godwit::bench {

/// A run's virtual clock and what is to come on it.
class event_queue
{
public:
    /// The moment of the event taken last.
    [[nodiscard]] core::time_point now() const noexcept { return now_; }

    void schedule(
        core::time_point at,
        event_kind kind,
        std::size_t subject,
        std::uint64_t number = 0);

    /// Goes on to the next event; nothing if there is none up to `end`.
    [[nodiscard]] std::optional<timed_event> take(core::time_point end);

private:
    core::time_point now_{};
    std::uint64_t next_order_ = 0;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>>
        events_;
};

} // namespace godwit::bench
