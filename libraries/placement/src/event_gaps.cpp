#include <godwit/placement/event_gaps.hpp>

#include <algorithm>

namespace godwit::placement {

namespace {

// Of the two means. A smaller change does not turn a verdict on its own: a
// server is slow from 2.2 times the median and quick again below 1.5.
constexpr double much = 1.5;

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
    const event_gaps& told, const event_gaps& now) noexcept
{
    const auto before = told.mean_ms();
    const auto after = now.mean_ms();
    if (!before || !after)
        return before.has_value() != after.has_value();
    return *after > much * *before || *before > much * *after;
}

} // namespace godwit::placement
