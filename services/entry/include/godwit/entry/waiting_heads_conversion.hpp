#pragma once

#include <godwit/core/time.hpp>
#include <godwit/queueing/queue_report.hpp>
#include <godwit/wire/waiting_heads.hpp>

#include <cstddef>

namespace godwit::entry {

/// A report from another host, and how many of its values were ignored.
struct received_queue_report
{
    queueing::queue_report report;
    std::size_t refused = 0; ///< Out of range, or beyond a report's bounds.
};

/// Converts a report to its wire form, with times relative to `now`.
[[nodiscard]] wire::waiting_heads
to_wire(const queueing::queue_report& report, core::time_point now);

/// Converts a report from another host that was received at `now`.
[[nodiscard]] received_queue_report
from_wire(const wire::waiting_heads& message, core::time_point now);

} // namespace godwit::entry
