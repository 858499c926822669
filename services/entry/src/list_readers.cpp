#include <godwit/entry/list_readers.hpp>

#include <algorithm>

namespace godwit::entry {

namespace {

bool is_fresh(core::time_point heard_at, core::time_point now)
{
    return now - heard_at < list_readers::word_lifetime;
}

} // namespace

void list_readers::says(
    const core::host_name& host, bool reads_list, core::time_point now)
{
    // Hosts come and go under ever new names; who said nothing lately is as
    // good as never heard.
    std::erase_if(others_, [now](const auto& each) {
        return !is_fresh(each.second, now);
    });
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
        if (is_fresh(heard_at, now))
            return std::pair(host, heard_at);
    }
    return std::nullopt;
}

bool list_readers::is_first(core::time_point now) const
{
    const auto other = first(now);
    return !other || self_ < other->first;
}

bool list_readers::is_any_fresh(
    words::const_iterator end,
    const std::set<core::host_name>& mates,
    core::time_point now) const
{
    return std::any_of(others_.begin(), end, [&mates, now](const auto& each) {
        return mates.contains(each.first) && is_fresh(each.second, now);
    });
}

bool list_readers::is_preceded_by(
    const std::set<core::host_name>& mates, core::time_point now) const
{
    return is_any_fresh(others_.lower_bound(self_), mates, now);
}

bool list_readers::is_read_by(
    const std::set<core::host_name>& mates, core::time_point now) const
{
    return is_any_fresh(others_.end(), mates, now);
}

} // namespace godwit::entry
