#include <godwit/placement/load_ledger.hpp>

#include <algorithm>
#include <utility>

namespace godwit::placement {

namespace {

// A server without work is not kept: servers come and go.
void take_out(
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

} // namespace

void load_ledger::add(const server_id& server, const work_size& work)
{
    own_[server] += work;
}

void load_ledger::remove(const server_id& server, const work_size& work)
{
    take_out(own_, server, work);
}

void load_ledger::count(told_work& word) const
{
    if (std::exchange(word.is_counted, true))
        return;
    for (const auto& [server, work] : word.work)
        others_[server] += work;
}

void load_ledger::uncount(told_work& word) const
{
    if (!std::exchange(word.is_counted, false))
        return;
    for (const auto& [server, work] : word.work)
        take_out(others_, server, work);
}

void load_ledger::uncount_lapsed(core::time_point now) const
{
    if (now == lapse_looked_at_)
        return;
    lapse_looked_at_ = now;
    for (auto& [host, word] : neighbours_) {
        if (!word.is_fresh(now))
            uncount(word);
    }
    for (auto& [group, word] : groups_) {
        if (!word.is_fresh(now))
            uncount(word);
    }
}

void load_ledger::update_from_neighbour(
    const core::host_name& host,
    const std::vector<server_work>& word,
    core::time_point now)
{
    told_work& kept = neighbours_[host];
    uncount(kept);
    kept.heard_at = now;
    kept.work.clear();
    for (const server_work& one : word)
        kept.work[one.server] += one.work;
    count(kept);
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
    const std::vector<server_work>& word,
    core::time_point now)
{
    told_work& kept = groups_[group];
    // Words come in order, and a link that lost some begins with a whole one:
    // changes after a silence complete what was told before it.
    if (extent == report_extent::full) {
        uncount(kept);
        kept.work.clear();
    }
    kept.heard_at = now;
    count(kept);
    for (const server_work& one : word) {
        const auto told = kept.work.find(one.server);
        if (told != kept.work.end()) {
            take_out(others_, one.server, told->second);
            kept.work.erase(told);
        }
        if (one.work == work_size())
            continue;
        others_[one.server] += one.work;
        kept.work.emplace(one.server, one.work);
    }
}

bool load_ledger::told_work::is_fresh(core::time_point now) const
{
    return now - heard_at <= report_lifetime;
}

work_size load_ledger::at(const server_id& server, core::time_point now) const
{
    uncount_lapsed(now);
    work_size sum;
    if (const auto found = own_.find(server); found != own_.end())
        sum += found->second;
    if (const auto found = others_.find(server); found != others_.end())
        sum += found->second;
    return sum;
}

std::vector<server_work>
load_ledger::own_and_neighbours(core::time_point now) const
{
    std::map<server_id, work_size> sums = own_;
    for (const auto& [host, word] : neighbours_) {
        if (!word.is_fresh(now))
            continue;
        for (const auto& [server, work] : word.work)
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
