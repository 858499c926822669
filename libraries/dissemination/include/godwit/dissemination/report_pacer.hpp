#pragma once

#include <godwit/core/time.hpp>

#include <chrono>
#include <cstddef>
#include <optional>

namespace godwit::dissemination {

/// Bounds the bytes per second of reports that a host sends whenever something
/// changes. A report that has to wait is sent later with what changed
/// meanwhile.
class report_pacer
{
public:
    /// The time whose unused bytes may be sent at once.
    static constexpr core::duration burst = std::chrono::milliseconds(250);
    /// The longest time without a report. Receivers drop reports that are not
    /// repeated, so that even a report beyond the rate is sent after this time.
    static constexpr core::duration max_wait = std::chrono::seconds(1);

    [[nodiscard]] bool may_send(core::time_point now) const;

    /// Records a report that was sent. A rate of 0 means that it is not
    /// bounded.
    void record_sent(
        std::size_t bytes, double bytes_per_second, core::time_point now);

private:
    std::optional<core::time_point> sent_at_;
    /// From when on another report is within the rate.
    core::time_point available_at_{};
};

} // namespace godwit::dissemination
