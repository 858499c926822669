#include <godwit/placement/load_ledger.hpp>

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
    neighbour_word& kept = neighbours_[host];
    kept.heard_at = now;
    kept.work.clear();
    for (const server_work& one : word)
        kept.work[one.server] += one.work;
}

work_size load_ledger::at(const server_id& server, core::time_point now) const
{
    work_size sum;
    if (const auto found = own_.find(server); found != own_.end())
        sum += found->second;
    for (const auto& [host, word] : neighbours_) {
        if (now - word.heard_at > word_lifetime)
            continue;
        const auto found = word.work.find(server);
        if (found != word.work.end())
            sum += found->second;
    }
    return sum;
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
