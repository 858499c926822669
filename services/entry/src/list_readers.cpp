#include <godwit/entry/list_readers.hpp>

#include <algorithm>

namespace godwit::entry {

void list_readers::says(
    const core::host_name& host, bool reads_list, core::time_point now)
{
    if (reads_list)
        others_[host] = now;
    else
        others_.erase(host);
}

void list_readers::is_said_to_read(
    const core::host_name& host, core::time_point heard_at)
{
    if (host == self_)
        return;
    const auto known = others_.find(host);
    if (known == others_.end() || known->second < heard_at)
        others_[host] = heard_at;
}

bool list_readers::reads(core::time_point now) const
{
    return read_at_ && now - *read_at_ <= read_lifetime;
}

std::optional<std::pair<core::host_name, core::time_point>>
list_readers::first(core::time_point now) const
{
    for (const auto& [host, heard_at] : others_) {
        if (now - heard_at < word_lifetime)
            return std::pair(host, heard_at);
    }
    return std::nullopt;
}

bool list_readers::is_first(core::time_point now) const
{
    const auto other = first(now);
    return !other || self_ < other->first;
}

bool list_readers::is_preceded_by(
    const std::set<core::host_name>& mates, core::time_point now) const
{
    return std::any_of(
        others_.begin(), others_.lower_bound(self_), [&](const auto& each) {
            return mates.contains(each.first) &&
                   now - each.second < word_lifetime;
        });
}

bool list_readers::is_read_by(
    const std::set<core::host_name>& mates, core::time_point now) const
{
    return std::any_of(others_.begin(), others_.end(), [&](const auto& each) {
        return mates.contains(each.first) && now - each.second < word_lifetime;
    });
}

} // namespace godwit::entry
