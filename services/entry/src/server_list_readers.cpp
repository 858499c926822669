#include <godwit/entry/server_list_readers.hpp>

#include <algorithm>
#include <iterator>

namespace godwit::entry {

namespace {

bool is_fresh(core::time_point reported_at, core::time_point now)
{
    return now - reported_at < server_list_readers::report_lifetime;
}

} // namespace

void server_list_readers::record_report(
    const core::host_name& host, bool reads_list, core::time_point now)
{
    // Hosts come and go under new names each time; one without a recent report
    // counts as unknown.
    std::erase_if(last_reports_, [now](const auto& each) {
        return !is_fresh(each.second, now);
    });
    if (reads_list)
        last_reports_[host] = now;
    else
        last_reports_.erase(host);
}

void server_list_readers::record_indirect_report(
    const core::host_name& host, core::time_point reported_at)
{
    if (host == self_)
        return;
    const auto known = last_reports_.find(host);
    if (known == last_reports_.end() || known->second < reported_at)
        last_reports_[host] = reported_at;
}

bool server_list_readers::is_reader(core::time_point now) const
{
    return last_own_read_at_ && now - *last_own_read_at_ <= reader_lifetime;
}

std::optional<std::pair<core::host_name, core::time_point>>
server_list_readers::first_other_reader(core::time_point now) const
{
    for (const auto& [host, reported_at] : last_reports_) {
        if (is_fresh(reported_at, now))
            return std::pair(host, reported_at);
    }
    return std::nullopt;
}

bool server_list_readers::is_primary(core::time_point now) const
{
    const auto other = first_other_reader(now);
    return !other || self_ < other->first;
}

bool server_list_readers::has_fresh_report(
    reports::const_iterator end,
    const std::set<core::host_name>& peers,
    core::time_point now) const
{
    return std::any_of(
        last_reports_.begin(), end, [&peers, now](const auto& each) {
            return peers.contains(each.first) && is_fresh(each.second, now);
        });
}

bool server_list_readers::has_earlier_reader(
    const std::set<core::host_name>& peers, core::time_point now) const
{
    return has_fresh_report(last_reports_.lower_bound(self_), peers, now);
}

bool server_list_readers::has_reader(
    const std::set<core::host_name>& peers, core::time_point now) const
{
    return has_fresh_report(last_reports_.end(), peers, now);
}

bool server_list_readers::may_rely_on(
    const std::set<core::host_name>& peers, core::time_point now) const
{
    if (is_reader(now))
        return has_earlier_reader(peers, now);
    const auto rank = std::distance(peers.begin(), peers.lower_bound(self_));
    const bool is_turn_of_others =
        observed_at_ && now - *observed_at_ < takeover_delay * rank;
    return has_reader(peers, now) || is_turn_of_others;
}

void server_list_readers::observe(
    const std::set<core::host_name>& peers,
    bool is_waiting,
    core::time_point now)
{
    if (is_waiting || !observed_at_ || has_reader(peers, now))
        observed_at_ = now;
}

} // namespace godwit::entry
