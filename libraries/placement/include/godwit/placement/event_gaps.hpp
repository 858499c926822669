#pragma once

#include <cstdint>
#include <optional>

namespace godwit::placement {

/// The gaps between the events of running streams, as totals that can be added
/// up over streams and hosts.
struct event_gaps
{
    std::uint32_t streams = 0; ///< Streams with a known gap.
    std::uint32_t total_ms = 0;

    /// The mean over the streams; empty without streams.
    [[nodiscard]] std::optional<double> mean_ms() const noexcept;

    event_gaps& operator+=(const event_gaps& more) noexcept;
    event_gaps& operator-=(const event_gaps& less) noexcept;

    friend bool operator==(const event_gaps&, const event_gaps&) = default;
};

/// Whether the mean gaps differ so much that a server may become slow or
/// recover, so that the new value should be broadcast to other hosts at once.
[[nodiscard]] bool differ_significantly(
    const event_gaps& reported, const event_gaps& now) noexcept;

} // namespace godwit::placement
