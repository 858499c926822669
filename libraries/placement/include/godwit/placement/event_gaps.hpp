#pragma once

#include <cstdint>
#include <optional>

namespace godwit::placement {

/// How far apart the events of running streams come, as sums that add up
/// over streams and hosts.
struct event_gaps
{
    std::uint32_t streams = 0; ///< Of which a gap is known.
    std::uint32_t total_ms = 0;

    /// The mean over the streams; nothing where there is none.
    [[nodiscard]] std::optional<double> mean_ms() const noexcept;

    event_gaps& operator+=(const event_gaps& more) noexcept;
    event_gaps& operator-=(const event_gaps& less) noexcept;

    friend bool operator==(const event_gaps&, const event_gaps&) = default;
};

/// Whether the means are so far apart that a decision may differ, so that
/// other hosts should hear of it at once.
[[nodiscard]] bool
differ_significantly(const event_gaps& told, const event_gaps& now) noexcept;

} // namespace godwit::placement
