#include <godwit/placement/zone_view.hpp>

#include <utility>

namespace godwit::placement {

void zone_view::set_heard(std::set<core::zone_name> zones)
{
    is_partial_ = true;
    heard_ = std::move(zones);
}

void zone_view::hear(
    const core::zone_name& zone, std::uint64_t tokens, core::time_point now)
{
    means_[zone] = word{tokens, now};
}

bool zone_view::is_heard(const core::zone_name& zone) const
{
    return !is_partial_ || heard_.contains(zone);
}

std::optional<std::uint64_t>
zone_view::mean_tokens(const core::zone_name& zone, core::time_point now) const
{
    const auto found = means_.find(zone);
    if (found == means_.end() || now - found->second.heard_at > word_lifetime)
        return std::nullopt;
    return found->second.tokens;
}

} // namespace godwit::placement
