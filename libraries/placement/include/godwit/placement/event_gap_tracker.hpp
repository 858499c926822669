#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/event_gaps.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace godwit::placement {

/// Exponential moving average of the gaps between the events of one stream.
///
/// Detects engines that become slow without failing: two late events suffice,
/// while a mean over seconds would show it only after the streams have ended.
class event_gap_tracker
{
public:
    /// The weight of the newest gap. After two events an engine that decodes
    /// 3.5 times slower is distinguishable from one that prefills a prompt.
    static constexpr double smoothing_factor = 0.4;
    /// Longer gaps count as this: the stream was preempted or stalled.
    static constexpr core::duration max_gap = std::chrono::seconds(2);

    /// Records events that arrived together.
    void record_events(std::uint64_t events, core::time_point now);

    /// Ignores the next gap, which does not depend on the server's speed: the
    /// stream was migrated, or its caller did not read the events.
    void skip_next_gap() { last_event_at_.reset(); }

    /// The stream's part of the totals; zero before its first gap.
    [[nodiscard]] event_gaps gaps() const;

private:
    std::optional<core::time_point> last_event_at_;
    std::optional<double> gap_ms_;
};

} // namespace godwit::placement
