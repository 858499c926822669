#pragma once

#include <godwit/core/time.hpp>
#include <godwit/placement/event_gaps.hpp>

#include <chrono>
#include <cstdint>
#include <optional>

namespace godwit::placement {

/// How far apart the events of one stream come, smoothed over its last ones.
///
/// Answers engines that turn slow without going down: two late events show
/// it, where a mean over seconds would show it when the streams have ended.
class event_gap_tracker
{
public:
    /// The weight of the newest gap. With two events an engine that writes
    /// 3.5 times slower stands out from one that reads a prompt meanwhile.
    static constexpr double smoothing_factor = 0.4;
    /// A longer gap is no pace: the stream was pushed off or stood still.
    static constexpr core::duration max_gap = std::chrono::seconds(2);

    /// So many events came together at this moment.
    void record_events(std::uint64_t events, core::time_point now);

    /// The next gap says nothing of the server: the stream went on at
    /// another one, or its caller did not take what came.
    void skip_next_gap() { last_.reset(); }

    /// What this stream adds to the sums; all zero before its first gap.
    [[nodiscard]] event_gaps gaps() const;

private:
    std::optional<core::time_point> last_;
    std::optional<double> gap_ms_;
};

} // namespace godwit::placement
