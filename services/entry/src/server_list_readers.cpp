#include <godwit/entry/server_list_readers.hpp>

#include <algorithm>
#include <iterator>

namespace godwit::entry {

namespace {

bool is_fresh(core::time_point reported_at, core::time_point now)
{
    return now - reported_at < server_list_readers::report_lifetime;
}

bool is_valid(core::time_point stated_at, core::time_point now)
{
    return now - stated_at < server_list_readers::statement_lifetime;
}

} // namespace

void server_list_readers::record_report(
    const core::host_name& host,
    reader_statement statement,
    core::time_point now)
{
    // Hosts come and go under new names each time; one without a recent report
    // counts as unknown.
    for (times* each : {&last_reports_, &last_heard_, &last_statements_})
        std::erase_if(*each, [now](const auto& report) {
            return !is_fresh(report.second, now);
        });
    last_heard_[host] = now;
    if (statement == reader_statement::none)
        last_reports_.erase(host);
    else
        last_reports_[host] = now;
    if (statement == reader_statement::serves)
        last_statements_[host] = now;
    else
        last_statements_.erase(host);
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

void server_list_readers::forget(const core::host_name& host)
{
    for (times* each : {&last_reports_, &last_heard_, &last_statements_})
        each->erase(host);
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

std::size_t server_list_readers::count_serving(
    times::const_iterator end,
    const std::set<core::host_name>& peers,
    core::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        last_statements_.begin(), end, [&peers, now](const auto& each) {
            return peers.contains(each.first) && is_valid(each.second, now);
        }));
}

std::size_t server_list_readers::serving_earlier(
    const std::set<core::host_name>& peers, core::time_point now) const
{
    return count_serving(last_statements_.lower_bound(self_), peers, now);
}

std::size_t server_list_readers::serving(
    const std::set<core::host_name>& peers, core::time_point now) const
{
    return count_serving(last_statements_.end(), peers, now);
}

// Hosts that were not heard of lately do not take over, so that nobody waits
// for them.
std::size_t server_list_readers::rank(
    const std::set<core::host_name>& peers, core::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        peers.begin(), peers.lower_bound(self_), [this, now](const auto& peer) {
            const auto heard = last_heard_.find(peer);
            return heard != last_heard_.end() && is_valid(heard->second, now);
        }));
}

bool server_list_readers::may_rely_on(
    const std::set<core::host_name>& peers,
    std::size_t required,
    core::time_point now) const
{
    if (is_reader(now))
        return serving_earlier(peers, now) >= required;
    const std::size_t served_by = serving(peers, now);
    if (served_by >= required)
        return true;
    const std::size_t hosts_before = rank(peers, now);
    if (served_by > 0)
        return enough_at_ &&
               now - *enough_at_ < replacement_delay * (hosts_before + 1);
    return any_at_ && now - *any_at_ < takeover_delay * hosts_before;
}

void server_list_readers::observe(
    const std::set<core::host_name>& peers,
    std::size_t required,
    bool is_waiting,
    core::time_point now)
{
    const std::size_t served_by = serving(peers, now);
    if (is_waiting || !enough_at_ || served_by >= required)
        enough_at_ = now;
    if (is_waiting || !any_at_ || served_by > 0)
        any_at_ = now;
}

} // namespace godwit::entry
