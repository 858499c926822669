#include <godwit/placement/load_ledger.hpp>

#include <algorithm>

namespace godwit::placement {

void load_ledger::add(const server_id& server, const work_size& work)
{
    own_[server] += work;
}

void load_ledger::remove(const server_id& server, const work_size& work)
{
    const auto found = own_.find(server);
    if (found == own_.end())
        return;
    found->second -= work;
    if (found->second == work_size())
        own_.erase(found);
}

void load_ledger::neighbour_says(
    const core::host_name& host,
    const std::vector<server_work>& word,
    core::time_point now)
{
    told_work& kept = neighbours_[host];
    kept.heard_at = now;
    kept.work.clear();
    for (const server_work& one : word)
        kept.work[one.server] += one.work;
}

void load_ledger::keep_neighbours(const std::set<core::host_name>& hosts)
{
    std::erase_if(neighbours_, [&hosts](const auto& each) {
        return !hosts.contains(each.first);
    });
}

void load_ledger::group_says(
    const host_group& group,
    word_extent extent,
    const std::vector<server_work>& word,
    core::time_point now)
{
    told_work& kept = groups_[group];
    // Changes of what was told too long ago would complete nothing.
    if (extent == word_extent::whole || !kept.is_fresh(now))
        kept.work.clear();
    kept.heard_at = now;
    for (const server_work& one : word)
        kept.work[one.server] = one.work;
}

bool load_ledger::told_work::is_fresh(core::time_point now) const
{
    return now - heard_at <= word_lifetime;
}

work_size load_ledger::told_work::at(const server_id& server) const
{
    const auto found = work.find(server);
    return found == work.end() ? work_size() : found->second;
}

work_size load_ledger::at(const server_id& server, core::time_point now) const
{
    work_size sum;
    if (const auto found = own_.find(server); found != own_.end())
        sum += found->second;
    for (const auto& [host, word] : neighbours_) {
        if (word.is_fresh(now))
            sum += word.at(server);
    }
    for (const auto& [group, word] : groups_) {
        if (word.is_fresh(now))
            sum += word.at(server);
    }
    return sum;
}

std::vector<server_work> load_ledger::nearby(core::time_point now) const
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

bool load_ledger::hears_groups(core::time_point now) const
{
    return std::any_of(groups_.begin(), groups_.end(), [now](const auto& each) {
        return each.second.is_fresh(now);
    });
}

std::size_t load_ledger::neighbours_heard(core::time_point now) const
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
