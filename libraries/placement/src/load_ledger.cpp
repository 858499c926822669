#include <godwit/placement/load_ledger.hpp>

#include <algorithm>
#include <utility>

namespace godwit::placement {

namespace {

// Servers without work are removed, so that the map does not grow with each
// server that was ever used.
void subtract(
    std::map<server_id, work_size>& sums,
    const server_id& server,
    const work_size& work)
{
    const auto found = sums.find(server);
    if (found == sums.end())
        return;
    found->second -= work;
    if (found->second == work_size())
        sums.erase(found);
}

std::size_t requests_in(const std::map<server_id, work_size>& work)
{
    std::size_t requests = 0;
    for (const auto& [server, size] : work)
        requests += size.requests;
    return requests;
}

} // namespace

void load_ledger::add(const server_id& server, const work_size& work)
{
    own_[server] += work;
}

void load_ledger::remove(const server_id& server, const work_size& work)
{
    subtract(own_, server, work);
}

void load_ledger::count(load_report& report) const
{
    if (std::exchange(report.is_counted, true))
        return;
    for (const auto& [server, work] : report.work)
        others_total_[server] += work;
}

void load_ledger::uncount(load_report& report) const
{
    if (!std::exchange(report.is_counted, false))
        return;
    for (const auto& [server, work] : report.work)
        subtract(others_total_, server, work);
}

void load_ledger::uncount_expired(core::time_point now) const
{
    if (now == last_expiry_check_)
        return;
    last_expiry_check_ = now;
    for (auto& [host, report] : neighbours_) {
        if (!report.is_fresh(now))
            uncount(report);
    }
    for (auto& [group, report] : groups_) {
        if (!report.is_fresh(now))
            uncount(report);
    }
}

void load_ledger::update_from_neighbour(
    const core::host_name& host,
    const std::vector<server_work>& report,
    core::time_point now)
{
    load_report& known = neighbours_[host];
    uncount(known);
    known.received_at = now;
    known.work.clear();
    for (const server_work& each : report)
        known.work[each.server] += each.work;
    count(known);
}

void load_ledger::retain_neighbours(const std::set<core::host_name>& hosts)
{
    for (auto each = neighbours_.begin(); each != neighbours_.end();) {
        if (hosts.contains(each->first)) {
            ++each;
            continue;
        }
        uncount(each->second);
        each = neighbours_.erase(each);
    }
}

void load_ledger::update_from_group(
    const host_group& group,
    report_extent extent,
    const std::vector<server_work>& report,
    core::time_point now)
{
    load_report& known = groups_[group];
    // Reports arrive in order, and a connection between hosts that lost some
    // starts again with a full report, so that changes apply to the previous
    // report even if it expired.
    if (extent == report_extent::full) {
        uncount(known);
        known.work.clear();
    }
    known.received_at = now;
    count(known);
    for (const server_work& each : report) {
        const auto previous = known.work.find(each.server);
        if (previous != known.work.end()) {
            subtract(others_total_, each.server, previous->second);
            known.work.erase(previous);
        }
        if (each.work == work_size())
            continue;
        others_total_[each.server] += each.work;
        known.work.emplace(each.server, each.work);
    }
}

bool load_ledger::load_report::is_fresh(core::time_point now) const
{
    return now - received_at <= report_lifetime;
}

work_size load_ledger::at(const server_id& server, core::time_point now) const
{
    uncount_expired(now);
    work_size sum;
    if (const auto found = own_.find(server); found != own_.end())
        sum += found->second;
    if (const auto found = others_total_.find(server);
        found != others_total_.end())
        sum += found->second;
    return sum;
}

std::vector<server_work> load_ledger::all(core::time_point now) const
{
    uncount_expired(now);
    std::map<server_id, work_size> sums = own_;
    for (const auto& [server, work] : others_total_)
        sums[server] += work;
    std::vector<server_work> found;
    found.reserve(sums.size());
    for (const auto& [server, work] : sums)
        found.push_back(server_work{server, work});
    return found;
}

bool load_ledger::has_earlier_report(
    const server_id& server,
    const core::host_name& self,
    const host_group& own_group,
    core::time_point now) const
{
    const auto reports_work = [&server, now](const auto& each) {
        return each.second.is_fresh(now) && each.second.work.contains(server);
    };
    return std::any_of(
               neighbours_.begin(),
               neighbours_.lower_bound(self),
               reports_work) ||
           std::any_of(
               groups_.begin(), groups_.lower_bound(own_group), reports_work);
}

std::vector<server_work>
load_ledger::own_and_neighbours(core::time_point now) const
{
    std::map<server_id, work_size> sums = own_;
    for (const auto& [host, report] : neighbours_) {
        if (!report.is_fresh(now))
            continue;
        for (const auto& [server, work] : report.work)
            sums[server] += work;
    }
    std::vector<server_work> all;
    all.reserve(sums.size());
    for (const auto& [server, work] : sums)
        all.push_back(server_work{server, work});
    return all;
}

bool load_ledger::has_group_reports(core::time_point now) const
{
    return std::any_of(groups_.begin(), groups_.end(), [now](const auto& each) {
        return each.second.is_fresh(now);
    });
}

std::size_t load_ledger::own_requests() const
{
    return requests_in(own_);
}

std::size_t load_ledger::other_requests(core::time_point now) const
{
    uncount_expired(now);
    return requests_in(others_total_);
}

std::size_t load_ledger::active_neighbours(core::time_point now) const
{
    return static_cast<std::size_t>(std::count_if(
        neighbours_.begin(), neighbours_.end(), [now](const auto& each) {
            return each.second.is_fresh(now);
        }));
}

std::vector<server_work> load_ledger::own() const
{
    std::vector<server_work> all;
    all.reserve(own_.size());
    for (const auto& [server, work] : own_)
        all.push_back(server_work{server, work});
    return all;
}

} // namespace godwit::placement
