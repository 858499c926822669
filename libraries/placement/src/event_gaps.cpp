#include <godwit/placement/event_gaps.hpp>

#include <algorithm>

namespace godwit::placement {

namespace {

// Ratio of the two means from which they differ significantly. A smaller change
// alone does not change whether a server counts as slow: it is slow from 2.2
// times the median and has recovered below 1.5 times.
constexpr double significant_ratio = 1.5;

} // namespace

std::optional<double> event_gaps::mean_ms() const noexcept
{
    if (streams == 0)
        return std::nullopt;
    return static_cast<double>(total_ms) / static_cast<double>(streams);
}

event_gaps& event_gaps::operator+=(const event_gaps& more) noexcept
{
    streams += more.streams;
    total_ms += more.total_ms;
    return *this;
}

event_gaps& event_gaps::operator-=(const event_gaps& less) noexcept
{
    streams -= std::min(streams, less.streams);
    total_ms -= std::min(total_ms, less.total_ms);
    return *this;
}

bool differ_significantly(
    const event_gaps& reported, const event_gaps& now) noexcept
{
    const auto before = reported.mean_ms();
    const auto after = now.mean_ms();
    if (!before || !after)
        return before.has_value() != after.has_value();
    return *after > significant_ratio * *before ||
           *before > significant_ratio * *after;
}

} // namespace godwit::placement
