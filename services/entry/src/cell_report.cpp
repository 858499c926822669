#include <godwit/entry/cell_report.hpp>

#include <godwit/entry/work_words.hpp>

#include <utility>

namespace godwit::entry {

namespace {

using placement::work_size;

bool is_news(const work_size& told, const work_size& now)
{
    const std::uint64_t growth = told.tokens < now.tokens
                                     ? now.tokens - told.tokens
                                     : told.tokens - now.tokens;
    return told.requests != now.requests ||
           told.unread_tokens != now.unread_tokens ||
           told.arriving_tokens != now.arriving_tokens ||
           placement::differ_significantly(told.gaps, now.gaps) ||
           growth >= cell_report::told_growth;
}

} // namespace

std::optional<wire::cell_work> cell_report::next(
    const placement::host_group& cell,
    const std::vector<placement::server_work>& sums,
    core::time_point now)
{
    // Nobody has heard the sums of this cell, if the host came into another.
    if (cell != cell_)
        told_.clear();
    cell_ = cell;
    wire::cell_work said;
    said.cell = cell.value();
    said.is_whole = told_.empty() || now - whole_told_at_ >= whole_pace;
    std::map<placement::server_id, work_size> kept;
    for (const auto& [server, work] : sums) {
        const auto before = told_.find(server);
        const bool is_told = said.is_whole || before == told_.end() ||
                             is_news(before->second, work);
        kept.emplace(server, is_told ? work : before->second);
        if (is_told)
            said.work.push_back(to_wire(server, work));
        if (before != told_.end())
            told_.erase(before);
    }
    // What is left has no work any more.
    if (!said.is_whole) {
        for (const auto& [server, work] : told_)
            said.work.push_back(to_wire(server, work_size()));
    }
    told_ = std::move(kept);
    if (said.is_whole)
        whole_told_at_ = now;
    const bool is_silent = said.work.empty() && !said.is_whole;
    if (is_silent && told_at_ && now - *told_at_ < longest_silence)
        return std::nullopt;
    told_at_ = now;
    return said;
}

std::optional<wire::cell_work>
cell_report::whole(const placement::host_group& cell) const
{
    if (!told_at_ || cell != cell_)
        return std::nullopt;
    wire::cell_work said;
    said.cell = cell.value();
    said.is_whole = true;
    for (const auto& [server, work] : told_)
        said.work.push_back(to_wire(server, work));
    return said;
}

} // namespace godwit::entry
