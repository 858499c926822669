#include <godwit/entry/neighbour_traffic.hpp>

#include <utility>

namespace godwit::entry {

void neighbour_traffic::record(
    std::string_view kind, bool is_other_zone, std::size_t bytes)
{
    count& counted = (is_other_zone ? other_zones_ : same_zone_)[kind];
    ++counted.messages;
    counted.bytes += bytes;
}

std::optional<neighbour_traffic::log_line>
neighbour_traffic::take_due(core::time_point now)
{
    if (!last_logged_at_)
        last_logged_at_ = now;
    if (now - *last_logged_at_ < log_interval)
        return std::nullopt;
    last_logged_at_ = now;
    return log_line{
        to_text(std::exchange(same_zone_, {})),
        to_text(std::exchange(other_zones_, {}))};
}

std::string neighbour_traffic::to_text(const counts& counted)
{
    std::string text;
    for (const auto& [kind, each] : counted) {
        if (!text.empty())
            text += ',';
        text += std::string(kind) + ':' + std::to_string(each.messages) + ':' +
                std::to_string(each.bytes);
    }
    return text;
}

} // namespace godwit::entry
